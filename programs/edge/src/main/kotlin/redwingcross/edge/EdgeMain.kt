package redwingcross.edge

import com.github.ajalt.clikt.core.main

/** Runs an edge process until it is stopped. */
fun main(arguments: Array<String>): Unit = EdgeCommand().main(arguments)
