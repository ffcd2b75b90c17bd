package redwingcross.version.routing

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val BYTE_MASK = 0xffL
private const val COMBINE_FACTOR = 31
private const val FIRST_SHIFT = 30
private const val FIRST_FACTOR = -4658895280553007687L
private const val SECOND_SHIFT = 27
private const val SECOND_FACTOR = -7723592293110705685L
private const val LAST_SHIFT = 31
private const val ORDER_SEED = 1L

/** 64-bit FNV-1a hash. All gateways must compute the same order, so it does not depend on the JVM. */
fun stableHash(text: String): Long =
    text.encodeToByteArray().fold(FNV_OFFSET) { hash, byte -> (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME }

/**
 * Position of [name] in an order that all processes compute alike and in which similar names are far apart. Names of
 * nodes contain their zone, so the plain hash would place the nodes of a zone side by side.
 */
fun orderHash(name: String): Long = combineHashes(ORDER_SEED, stableHash(name))

/** Combines two hashes with the finalizer of SplitMix64, so that every input bit affects all output bits. */
internal fun combineHashes(first: Long, second: Long): Long {
    val sum = first * COMBINE_FACTOR + second
    val once = (sum xor (sum ushr FIRST_SHIFT)) * FIRST_FACTOR
    val twice = (once xor (once ushr SECOND_SHIFT)) * SECOND_FACTOR
    return twice xor (twice ushr LAST_SHIFT)
}
