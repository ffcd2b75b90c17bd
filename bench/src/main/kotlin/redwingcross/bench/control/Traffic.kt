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
    val process = MeasuredProcess(size, isPlatformUp)
    process.run(SETTLE_SECONDS)
    process.reset()
    process.run(MEASURED_SECONDS)
    // The synthetic peer holds a copy of the same zones, so this is an upper bound.
    val heap = usedHeap() - before
    return process.traffic(MEASURED_SECONDS, heap)
}

private const val WARM_UP_SECONDS = 300
private const val SETTLE_SECONDS = 60
private const val MEASURED_SECONDS = 600

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}
