/*
 * HTTP messages without Netty's types, for the other modules.
 */
package org.vanillalink.transport

import java.net.URI

/** Header fields by lower-case name; the values of a repeated field are joined by commas. */
data class HeaderFields(
    private val fields: Map<String, String> = emptyMap(),
) {
    /** All fields by lower-case name. */
    val all: Map<String, String> get() = fields

    /** Returns the value of [name], case-insensitively. */
    operator fun get(name: String): String? = fields[name.lowercase()]

    /** Returns a copy with [name] set to [value]. */
    fun with(
        name: String,
        value: String,
    ): HeaderFields = HeaderFields(fields + (name.lowercase() to value))

    /** Returns a copy without [names], which are in lower case. */
    fun without(names: Set<String>): HeaderFields = HeaderFields(fields - names)

    companion object {
        /** Creates header fields from pairs of name and value. */
        fun of(vararg pairs: Pair<String, String>): HeaderFields =
            HeaderFields(pairs.associate { (name, value) -> name.lowercase() to value })
    }
}

/** A request with its complete body. [target] is the request target as sent: the path and the query. */
class HttpRequestMessage(
    val method: String,
    val target: String,
    val headers: HeaderFields = HeaderFields(),
    val body: ByteArray = ByteArray(0),
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')

    /** Returns the decoded value of the query parameter [name], or null without it. */
    fun queryParameter(name: String): String? {
        val query = URI.create(target).query ?: return null
        val prefix = "$name="
        return query.split('&').firstOrNull { it.startsWith(prefix) }?.removePrefix(prefix)
    }
}

/** A response with its complete body. */
class HttpResponseMessage(
    val status: Int,
    val headers: HeaderFields,
    val body: ByteArray,
)

/** Why an HTTP request got no complete response. */
sealed interface TransportFailure {
    /** Whether any byte of the request may have reached the server. */
    val requestMayHaveArrived: Boolean

    /** Description for logs. */
    val detail: String

    /** No connection was established, so nothing was sent. [isRefused] if the host refused it: no process listens. */
    data class NotConnected(
        override val detail: String,
        val isRefused: Boolean = false,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = false
    }

    /** The connection was closed before the response was complete. */
    data class ConnectionLost(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }

    /** No response arrived in time; the connection was closed. */
    data class TimedOut(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }

    /** The response was not valid HTTP or exceeded a limit; the connection was closed. */
    data class MalformedResponse(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }
}
