package org.orioleferry.core.settings

import java.net.InetAddress
import java.net.URI
import java.net.URISyntaxException
import java.net.UnknownHostException

private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
private val IPV6_CHARACTERS = Regex("[0-9A-Fa-f:.]+")

/** Whether [text] is an IP address literal other than the wildcard address, which peers cannot connect to. */
internal fun isReachableAddress(text: String): Boolean = toAddress(text)?.isAnyLocalAddress == false

/** Whether [text] is an `http` URL of an IP address and a port, without path, query or user. */
internal fun isPlainBaseUrl(text: String): Boolean {
    val uri =
        try {
            URI(text)
        } catch (_: URISyntaxException) {
            return false
        }
    val host = uri.host?.removeSurrounding("[", "]") ?: return false
    val hasOnlyHostAndPort = uri.rawPath.isNullOrEmpty() && uri.rawQuery == null && uri.rawUserInfo == null
    return uri.scheme == "http" && uri.port in 1..65_535 && hasOnlyHostAndPort && isReachableAddress(host)
}

private fun toAddress(text: String): InetAddress? {
    val parts = IPV4.matchEntire(text)?.groupValues?.drop(1)
    val isIpv4 = parts != null && parts.all { it.toInt() <= 255 }
    val isIpv6 = ':' in text && IPV6_CHARACTERS.matches(text)
    if (!isIpv4 && !isIpv6) return null
    return try {
        // This does not look up a name, since the text can only be a literal here.
        InetAddress.getByName(text)
    } catch (_: UnknownHostException) {
        null
    }
}
