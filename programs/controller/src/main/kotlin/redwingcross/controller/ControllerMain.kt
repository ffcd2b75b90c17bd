package redwingcross.controller

import com.github.ajalt.clikt.command.main

/** Runs a controller until it is stopped. */
suspend fun main(arguments: Array<String>): Unit = ControllerCommand().main(arguments)
