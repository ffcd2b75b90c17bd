package redwingcross.version.bundle

private const val MAXIMUM_PORT = 65_535
private const val MAXIMUM_OCTET = 255
private const val OCTETS = 4
private const val PORT_DIGITS = 5
private const val OCTET_DIGITS = 3
private const val MAXIMUM_IPV6_PARTS = 9
private const val MINIMUM_IPV6_PARTS = 3
private const val IPV6_PART_DIGITS = 4

/**
 * Whether [text] consists of an IPv4 address or a bracketed IPv6 address, a colon and a port from 1 to 65535. Anything
 * else would be looked up as a host name or rejected when the socket address is created.
 */
fun isEndpoint(text: String): Boolean {
    val host = text.substringBeforeLast(':', "")
    val port = numberOrNull(text.substringAfterLast(':'), PORT_DIGITS)
    return port in 1..MAXIMUM_PORT && (isIpv4(host) || isBracketedIpv6(host))
}

/** The value of 1 to [digits] ASCII digits; unlike `toIntOrNull`, no sign and no other digits are accepted. */
private fun numberOrNull(text: String, digits: Int): Int? =
    text.takeIf { it.length in 1..digits && it.all { character -> character in '0'..'9' } }?.toInt()

private fun isIpv4(host: String): Boolean {
    val octets = host.split('.')
    return octets.size == OCTETS && octets.all { numberOrNull(it, OCTET_DIGITS) in 0..MAXIMUM_OCTET }
}

private fun isBracketedIpv6(host: String): Boolean =
    host.startsWith("[") && host.endsWith("]") && isIpv6(host.drop(1).dropLast(1))

private fun isIpv6(text: String): Boolean {
    val parts = text.split(':')
    // Empty parts stand for the one place where zeros are left out, and beside it at the start or the end.
    val isShortened = "::" in text && text.indexOf("::") == text.lastIndexOf("::")
    val isComplete = parts.size == MAXIMUM_IPV6_PARTS - 1 && parts.none(String::isEmpty)
    val hasSingleColonAtEdge = text.startsWith(":") &&
        !text.startsWith("::") ||
        text.endsWith(":") &&
        !text.endsWith("::")
    val hasValidCount = (isShortened || isComplete) && parts.size in MINIMUM_IPV6_PARTS..MAXIMUM_IPV6_PARTS
    return hasValidCount && !hasSingleColonAtEdge && parts.all(::isIpv6Part)
}

private fun isIpv6Part(part: String): Boolean =
    part.length <= IPV6_PART_DIGITS && part.all { it in "0123456789abcdefABCDEF" }
