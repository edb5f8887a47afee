/*
 * HTTP messages as the rest of the system sees them, free of Netty's types.
 */
package org.vanillalink.transport

import java.net.URI

/** Header fields by lower-case name; a field that came more than once is joined by commas. */
data class HeaderFields(
    private val fields: Map<String, String> = emptyMap(),
) {
    /** All fields by lower-case name. */
    val all: Map<String, String> get() = fields

    /** The value of [name], in whatever case it was sent. */
    operator fun get(name: String): String? = fields[name.lowercase()]

    /** These fields with [name] set to [value]. */
    fun with(
        name: String,
        value: String,
    ): HeaderFields = HeaderFields(fields + (name.lowercase() to value))

    /** These fields without [names]. */
    fun without(names: Set<String>): HeaderFields = HeaderFields(fields - names)

    companion object {
        /** Fields from pairs of name and value. */
        fun of(vararg pairs: Pair<String, String>): HeaderFields =
            HeaderFields(pairs.associate { (name, value) -> name.lowercase() to value })
    }
}

/** A request with its whole body. [target] is the path with the query, as sent. */
class HttpRequestMessage(
    val method: String,
    val target: String,
    val headers: HeaderFields = HeaderFields(),
    val body: ByteArray = ByteArray(0),
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')

    /** The value of the query's parameter [name], decoded. */
    fun queryParameter(name: String): String? {
        val query = URI.create(target).query ?: return null
        val prefix = "$name="
        return query.split('&').firstOrNull { it.startsWith(prefix) }?.removePrefix(prefix)
    }
}

/** An answer with its whole body. */
class HttpResponseMessage(
    val status: Int,
    val headers: HeaderFields,
    val body: ByteArray,
)

/** Why a call over HTTP gave no whole answer. */
sealed interface TransportFailure {
    /** Whether any byte of the request may have reached the other side. */
    val requestMayHaveArrived: Boolean

    /** What to write into logs. */
    val detail: String

    /** No connection came about, so nothing was sent. [isRefused] where the host said that nobody listens. */
    data class NotConnected(
        override val detail: String,
        val isRefused: Boolean = false,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = false
    }

    /** The connection ended before the answer was whole. */
    data class ConnectionLost(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }

    /** No answer came in time; the connection was closed. */
    data class TimedOut(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }

    /** What came back was not HTTP, or larger than allowed; the connection was closed. */
    data class MalformedResponse(
        override val detail: String,
    ) : TransportFailure {
        override val requestMayHaveArrived: Boolean get() = true
    }
}
