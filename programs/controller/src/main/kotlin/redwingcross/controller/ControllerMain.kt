package redwingcross.controller

import com.github.ajalt.clikt.command.main

/** Entry point of the controller; returns when the process is stopped by a signal. */
suspend fun main(arguments: Array<String>): Unit = ControllerCommand().main(arguments)
