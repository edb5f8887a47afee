/*
 * JSON for messages between processes. Unknown properties are passed over, so that versions can differ during an
 * upgrade.
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

/** Why a text could not be read. */
data class MalformedJson(
    val detail: String,
)

/** Reads and writes JSON. */
object Json {
    /** The mapper behind [read] and [write]. */
    val mapper: JsonMapper =
        JsonMapper
            .builder()
            .addModule(kotlinModule())
            .addModule(JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build()

    /** [value] as JSON in UTF-8. */
    fun write(value: Any): ByteArray = mapper.writeValueAsBytes(value)

    /** Reads [bytes] as a [type]. */
    fun <T> read(
        bytes: ByteArray,
        type: Class<T>,
    ): Either<MalformedJson, T> = Either
        .catch { mapper.readValue(bytes, type) }
        .mapLeft { failure -> MalformedJson(describe(failure)) }

    private fun describe(failure: Throwable): String = when (failure) {
        is JsonProcessingException -> failure.originalMessage
        is IOException -> failure.message.orEmpty()
        else -> throw failure
    }
}

/** Reads [bytes] as a [T]. */
inline fun <reified T> Json.read(bytes: ByteArray): Either<MalformedJson, T> = read(bytes, T::class.java)
