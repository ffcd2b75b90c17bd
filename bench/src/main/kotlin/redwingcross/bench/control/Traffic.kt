package redwingcross.bench.control

/** Traffic and processor time of one process per second, and its heap use. */
internal class Traffic(
    val sentBytes: Long,
    val receivedBytes: Long,
    val messages: Double,
    val cpuSeconds: Double,
    val heapBytes: Long,
)

/** Runs one process in virtual time, first to warm up the JVM and then to measure. */
internal fun measureTraffic(size: Int, isPlatformUp: Boolean): Traffic {
    MeasuredProcess(size, isPlatformUp).run(WARM_UP_SECONDS)
    val before = usedHeap()
    val processes = List(HEAP_COPIES) { MeasuredProcess(size, isPlatformUp).apply { run(SETTLE_SECONDS) } }
    // Each copy includes the simulated peers with the same zones, so this is an upper bound.
    val heap = (usedHeap() - before) / processes.size
    val process = processes.first()
    process.reset()
    process.run(MEASURED_SECONDS)
    return process.trafficPerSecond(MEASURED_SECONDS, heap)
}

/** Many copies reduce the share of the other objects on the heap in the result. */
private const val HEAP_COPIES = 20
private const val WARM_UP_SECONDS = 300
private const val SETTLE_SECONDS = 60
private const val MEASURED_SECONDS = 600

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}
