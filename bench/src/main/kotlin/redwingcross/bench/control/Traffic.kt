package redwingcross.bench.control

/** Cost of one process for each second. */
internal class Traffic(
    val sentBytes: Long,
    val receivedBytes: Long,
    val messages: Double,
    val cpuSeconds: Double,
    val heapBytes: Long,
)

/** Runs one process for a while of virtual time, first to warm up and then to measure. */
internal fun measureTraffic(size: Int, isPlatformUp: Boolean): Traffic {
    MeasuredProcess(size, isPlatformUp).run(WARM_UP_SECONDS)
    val before = usedHeap()
    val processes = List(HEAP_COPIES) { MeasuredProcess(size, isPlatformUp).apply { run(SETTLE_SECONDS) } }
    // Each copy includes the synthetic peer with the same zones, so this is an upper bound.
    val heap = (usedHeap() - before) / processes.size
    val process = processes.first()
    process.reset()
    process.run(MEASURED_SECONDS)
    return process.traffic(MEASURED_SECONDS, heap)
}

/** Many copies make the state of one stand out from what else the JVM keeps. */
private const val HEAP_COPIES = 20
private const val WARM_UP_SECONDS = 300
private const val SETTLE_SECONDS = 60
private const val MEASURED_SECONDS = 600

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}
