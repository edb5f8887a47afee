/*
 * Identifiers of dispatch records and fingerprints of calls.
 *
 * The identifier of a record covers workspace and service, so that no workspace can access a record of another one.
 */
package org.vanillalink.dispatch.record

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.store.RowKey
import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 (lower-case hexadecimal) of workspace, service and idempotency key. */
data class RecordId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) {
        /** The row that holds the record. */
        val row: RowKey get() = RowKey(ROW_PREFIX + value)

        override fun toString(): String = value

        companion object {
            /** Common prefix of the keys of all record rows. */
            const val ROW_PREFIX = "dispatch/"

            /** Returns the identifier of the record of [key] when [workspace] uses it for [service]. */
            fun forKey(
                workspace: WorkspaceId,
                service: ServiceName,
                key: IdempotencyKey,
            ): RecordId = RecordId(digest(listOf(workspace.value, service.value, key.value).map { it.toByteArray() }))
        }
    }

/** SHA-256 (lower-case hexadecimal) of the parts of a call that identify a resend of it. */
data class CallFingerprint
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) {
        override fun toString(): String = value

        companion object {
            /** Returns the fingerprint of a call by its HTTP [method], [path] and [body]. */
            fun forCall(
                method: String,
                path: String,
                body: ByteArray,
            ): CallFingerprint = CallFingerprint(digest(listOf(method.toByteArray(), path.toByteArray(), body)))

            /** Returns the fingerprint of a model request by [workspace], [service] and [body], whatever its key. */
            fun forModelRequest(
                workspace: WorkspaceId,
                service: ServiceName,
                body: ByteArray,
            ): CallFingerprint =
                CallFingerprint(digest(listOf(workspace.value.toByteArray(), service.value.toByteArray(), body)))
        }
    }

/** Hashes [parts] with their lengths, so that moving a byte between two parts changes the digest. */
private fun digest(parts: List<ByteArray>): String {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        sha.update("${part.size}:".toByteArray())
        sha.update(part)
    }
    return HexFormat.of().formatHex(sha.digest())
}
