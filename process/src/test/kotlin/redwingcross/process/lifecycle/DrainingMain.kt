package redwingcross.process.lifecycle

fun main(arguments: Array<String>) = runDrainingProcess(arguments.first().toInt())
