package redwingcross.standins.service

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo

private class ServiceCommand : CliktCommand("redwingcross-service") {
    private val port: Int by option(help = "port on the loopback interface; 0 for any free port")
        .int().restrictTo(0..65_535).default(0)

    override fun run() = runCatching { ServiceStandin(port).start() }.fold(
        onSuccess = { echo("event=started standin=service port=${it.port}") },
        onFailure = { throw CliktError("can't listen on port $port: ${it.message}", statusCode = 1) },
    )
}

/** Runs the stand-in of a plain service until the process is stopped. */
object ServiceMain {
    @JvmStatic
    fun main(arguments: Array<String>) = ServiceCommand().main(arguments)
}
