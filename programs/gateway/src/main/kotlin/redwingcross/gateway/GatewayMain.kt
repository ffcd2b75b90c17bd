package redwingcross.gateway

import com.github.ajalt.clikt.command.main

/** Runs a gateway until it is stopped. */
suspend fun main(arguments: Array<String>): Unit = GatewayCommand().main(arguments)
