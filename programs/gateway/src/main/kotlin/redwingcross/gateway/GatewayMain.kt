package redwingcross.gateway

import com.github.ajalt.clikt.command.main

/** Entry point of the gateway; returns when the process is stopped by a signal. */
suspend fun main(arguments: Array<String>): Unit = GatewayCommand().main(arguments)
