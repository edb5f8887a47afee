/*
 * What a client reports about its connections, and counters of it.
 */
package org.vanillalink.transport

import java.util.EnumMap
import java.util.concurrent.atomic.LongAdder

/** Why a connection ended that could have carried another request. */
enum class ConnectionEnd(
    val label: String,
) {
    /** Bytes arrived that belong to no request. */
    UNSOLICITED_BYTES("unsolicited-bytes"),

    /** The response was malformed. */
    MALFORMED_RESPONSE("malformed-response"),

    /** The response ended the connection: by its fields, or since it has no length. */
    NOT_PERSISTENT("not-persistent"),

    /** The response was complete before the request was. */
    REQUEST_INCOMPLETE("request-incomplete"),

    /** The server closed it while it was idle. */
    CLOSED_BY_SERVER("closed-by-server"),

    /** It was idle for too long. */
    IDLE_LIMIT("idle-limit"),

    /** Enough connections to the server were idle. */
    POOL_FULL("pool-full"),

    /** Another connection to the server did not deliver its response in time. */
    UNRESPONSIVE_SERVER("unresponsive-server"),
}

/** Why a response is malformed. */
enum class ResponseFault(
    val label: String,
) {
    /** It is not HTTP, or exceeds a limit of the decoder. */
    UNDECODABLE("undecodable"),

    /** It has too many interim (1xx) responses before it. */
    INTERIM_RESPONSES("interim-responses"),

    /** Its version is neither HTTP/1.0 nor HTTP/1.1. */
    VERSION("version"),

    /** Its status is not a number of three digits. */
    STATUS("status"),

    /** Its reason phrase holds the status line of another response. */
    STATUS_LINE_IN_REASON("status-line-in-reason"),

    /** The value of a field holds the status line of another response. */
    STATUS_LINE_IN_FIELD("status-line-in-field"),

    /** A line has no colon right behind a field name. */
    FIELD_NAME("field-name"),

    /** A field that it has once at most is there again. */
    REPEATED_FIELD("repeated-field"),

    /** It has a length and chunks. */
    LENGTH_AND_CHUNKS("length-and-chunks"),

    /** Its body is transferred in another way than in chunks. */
    TRANSFER_ENCODING("transfer-encoding"),

    /** It goes on in another protocol. */
    PROTOCOL_SWITCH("protocol-switch"),
}

/** Is told of connections to servers, on any thread. */
interface ConnectionListener {
    /** A connection was established. */
    fun onOpened() = Unit

    /** A connection ended though it could have carried another request. */
    fun onEnded(reason: ConnectionEnd) = Unit

    /** A response was malformed. */
    fun onMalformed(fault: ResponseFault) = Unit

    companion object {
        /** Ignores everything. */
        val NONE = object : ConnectionListener {}
    }
}

/** Counts what it is told. */
class ConnectionCounters : ConnectionListener {
    private val openedCount = LongAdder()
    private val ends = countersOf<ConnectionEnd>()
    private val faults = countersOf<ResponseFault>()

    /** How many connections were established. */
    val opened: Long get() = openedCount.sum()

    /** How many connections ended for [reason]. */
    fun ended(reason: ConnectionEnd): Long = ends.getValue(reason).sum()

    /** How many responses had [fault]. */
    fun malformed(fault: ResponseFault): Long = faults.getValue(fault).sum()

    override fun onOpened() = openedCount.increment()

    override fun onEnded(reason: ConnectionEnd) = ends.getValue(reason).increment()

    override fun onMalformed(fault: ResponseFault) = faults.getValue(fault).increment()
}

private inline fun <reified K : Enum<K>> countersOf(): Map<K, LongAdder> =
    enumValues<K>().associateWithTo(EnumMap(K::class.java)) { LongAdder() }
