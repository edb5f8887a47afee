/*
 * The response of a target, kept so that a resend gets the same response.
 */
package org.vanillalink.dispatch.record

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import java.util.Base64

/** The body of a response, or where it is stored. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes(
    JsonSubTypes.Type(value = OutcomeBody.Inline::class, name = "inline"),
    JsonSubTypes.Type(value = OutcomeBody.Stored::class, name = "stored"),
)
sealed interface OutcomeBody {
    /** The body itself, in Base64. */
    data class Inline(
        val base64: String,
    ) : OutcomeBody {
        fun decode(): ByteArray = Base64.getDecoder().decode(base64)

        companion object {
            fun encode(bytes: ByteArray): Inline = Inline(Base64.getEncoder().encodeToString(bytes))
        }
    }

    /** The body is in the object store under [name]. */
    data class Stored(
        val name: String,
    ) : OutcomeBody
}

/** The complete response of a target: HTTP [status], the [headers] that a replay repeats, and [body]. */
data class CallOutcome(
    val status: Int,
    val headers: Map<String, String> = emptyMap(),
    val body: OutcomeBody,
)
