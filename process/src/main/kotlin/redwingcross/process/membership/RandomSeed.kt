package redwingcross.process.membership

/** Seed of pseudo-random choices. It is part of the state, so that a step is a pure function of its inputs. */
@JvmInline
value class RandomSeed(val value: Long) {
    internal fun next(): RandomSeed = RandomSeed(value + GOLDEN_GAMMA)

    /** Returns a pseudo-random number in `0 until bound`; [bound] must be positive. */
    internal fun index(bound: Int): Int = Math.floorMod(mix(value), bound.toLong()).toInt()

    /** Returns [items] in a pseudo-random order. */
    internal fun <T> shuffle(items: Collection<T>): List<T> = items.shuffled(kotlin.random.Random(mix(value)))

    private companion object {
        /** Increment of the SplitMix64 generator. */
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    }
}

/** Mixes the bits of [value] with the finalizer of SplitMix64. */
internal fun mix(value: Long): Long {
    val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
    val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
    return second xor (second ushr THIRD_SHIFT)
}

private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31
private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
