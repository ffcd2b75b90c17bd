package redwingcross.bench.control

/**
 * Prints one line for each number of members: the cost of membership and gossip for one process, and the number of
 * gossip rounds until all processes have adopted a new version. The arguments are the numbers of members.
 *
 * Measures only the decisions and the encoding of the process, not sockets and the kernel.
 */
fun main(arguments: Array<String>) {
    val sizes = arguments.map { it.toInt() }.ifEmpty { listOf(16, 64, 175, 350) }
    println("# per process and second; bytes are frames with their length prefix; rounds over $SPREAD_SEEDS seeds")
    for (size in sizes) {
        val normal = measureTraffic(size, isPlatformUp = true)
        val outage = measureTraffic(size, isPlatformUp = false)
        val rounds = List(SPREAD_SEEDS) { roundsUntilAdopted(size, seed = it.toLong()) }.sorted()
        println(
            "members=$size sentBytes=${normal.sentBytes} receivedBytes=${normal.receivedBytes} " +
                "messages=${"%.1f".format(normal.messages)} cpuSeconds=${"%.6f".format(normal.cpuSeconds)} " +
                "heapBytes=${normal.heapBytes} outageSentBytes=${outage.sentBytes} " +
                "outageReceivedBytes=${outage.receivedBytes} outageCpuSeconds=${"%.6f".format(outage.cpuSeconds)} " +
                "roundsMedian=${rounds[rounds.size / 2]} roundsMaximum=${rounds.last()}",
        )
    }
}

private const val SPREAD_SEEDS = 20
