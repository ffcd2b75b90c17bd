package redwingcross.version.bundle

private const val MAXIMUM_PORT = 65_535
private const val MAXIMUM_OCTET = 255
private const val OCTETS = 4

/** Whether [text] consists of an IPv4 address or a bracketed IPv6 address, a colon and a port from 1 to 65535. */
fun isEndpoint(text: String): Boolean {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return port in 1..MAXIMUM_PORT && (isIpv4(host) || isBracketedIpv6(host))
}

private fun isIpv4(host: String): Boolean {
    val octets = host.split('.')
    return octets.size == OCTETS && octets.all { it.toIntOrNull() in 0..MAXIMUM_OCTET }
}

private fun isBracketedIpv6(host: String): Boolean =
    host.startsWith("[") && host.endsWith("]") && host.drop(1).dropLast(1).all { it in "0123456789abcdefABCDEF:" }
