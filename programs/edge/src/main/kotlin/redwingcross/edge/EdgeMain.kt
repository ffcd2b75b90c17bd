package redwingcross.edge

import com.github.ajalt.clikt.core.main

/** Runs an edge process until it is stopped. */
fun main(arguments: Array<String>): Unit = startEdge(arguments)

/** Sets the defaults of the libraries and runs the command line. */
internal fun startEdge(arguments: Array<String>) {
    setDefault(EdgeLogging.ENABLED, "true")
    // Without it Netty looks for a hardware address and logs a warning if there is none; the id only names channels.
    setDefault("io.netty.machineId", "02:00:00:00:00:01")
    // Otherwise every jar of the class path is searched for providers.
    setDefault("slf4j.internal.verbosity", "WARN")
    setDefault("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider")
    EdgeCommand().main(arguments)
}

/** Sets a system property of a library unless the command line sets it; must run before the library is loaded. */
private fun setDefault(property: String, value: String) {
    if (System.getProperty(property) == null) System.setProperty(property, value)
}
