/*
 * JSON for messages between processes. Unknown properties are ignored, so that processes of different versions can
 * communicate during an upgrade.
 */
package org.vanillalink.transport

import arrow.core.Either
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.SerializationFeature
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule
import com.fasterxml.jackson.module.kotlin.kotlinModule
import java.io.IOException

/** Why content could not be parsed. */
data class MalformedJson(
    val detail: String,
)

/** JSON encoding and decoding with a shared mapper. */
object Json {
    /** The mapper that [read] and [write] use. */
    val mapper: JsonMapper =
        JsonMapper
            .builder()
            .addModule(kotlinModule())
            .addModule(JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build()

    /** Encodes [value] as JSON in UTF-8. */
    fun write(value: Any): ByteArray = mapper.writeValueAsBytes(value)

    /** Parses [bytes] as a [type]. */
    fun <T> read(
        bytes: ByteArray,
        type: Class<T>,
    ): Either<MalformedJson, T> = Either
        .catch { mapper.readValue(bytes, type) }
        .mapLeft { failure -> MalformedJson(describe(failure)) }

    private fun describe(failure: Throwable): String = when (failure) {
        is JsonProcessingException -> failure.originalMessage
        is IOException -> failure.message.orEmpty()
        else -> failure.toString()
    }
}

/** Parses [bytes] as a [T]. */
inline fun <reified T> Json.read(bytes: ByteArray): Either<MalformedJson, T> = read(bytes, T::class.java)
