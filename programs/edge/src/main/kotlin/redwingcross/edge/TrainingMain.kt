package redwingcross.edge

import java.io.File
import java.util.jar.Attributes
import java.util.jar.JarFile

/**
 * Runs an edge process for the creation of the class archive (`bin/archive-edge-classes`), after loading the classes
 * that it needs later. A class that is not in the archive is read, parsed and verified by every process that starts.
 */
fun main(arguments: Array<String>) {
    val program = File(System.getProperty("java.class.path"))
    val libraries = JarFile(program).use { it.manifest.mainAttributes.getValue(Attributes.Name.CLASS_PATH) }
        .split(' ')
        .map { File(program.parentFile, it) }
    (libraries + program).flatMap(::classNames).forEach(::load)
    startEdge(arguments)
}

/**
 * Packages whose classes a process needs once it serves. Of all others, the archive has the classes that the start
 * uses: each further class takes memory in every process.
 */
private val archivedPackages = listOf(
    "kotlinx.collections.immutable.implementations.immutableMap.",
    "kotlinx.serialization.cbor.",
    "kotlinx.serialization.json.",
    "redwingcross.connection.datagram.",
    "redwingcross.connection.http.",
    "redwingcross.edge.",
    "redwingcross.platform.",
    "redwingcross.process.crash.",
    "redwingcross.process.edge.",
    "redwingcross.process.metrics.",
    "redwingcross.process.usage.",
    "redwingcross.request.",
    "redwingcross.version.fleet.",
    "redwingcross.version.forwarding.",
    "redwingcross.version.lease.",
    "redwingcross.version.routing.StableHash",
)

private fun classNames(jar: File): List<String> = JarFile(jar).use { opened ->
    opened.entries().asSequence().map { it.name }
        .filter { it.endsWith(".class") && !it.startsWith("META-INF/") }
        .map { it.removeSuffix(".class").replace('/', '.') }
        .filter { name -> archivedPackages.any(name::startsWith) }
        .toList()
}

/** Loads a class without initializing it. Classes of optional parts of a library may lack their dependencies. */
private fun load(name: String) {
    try {
        Class.forName(name, false, ClassLoader.getSystemClassLoader())
    } catch (missing: LinkageError) {
        println("not archived: $name: $missing")
    }
}
