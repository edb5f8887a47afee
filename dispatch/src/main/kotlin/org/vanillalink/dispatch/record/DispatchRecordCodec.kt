/*
 * JSON encoding of dispatch records.
 */
package org.vanillalink.dispatch.record

import arrow.core.Either
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue

/** The content of a row is not a valid record; [explanation] is the message of the JSON parser. */
data class UnreadableRecord(
    val explanation: String,
)

internal class DispatchRecordCodec(
    private val mapper: ObjectMapper = jacksonObjectMapper(),
) {
    fun encode(record: DispatchRecord): String = mapper.writeValueAsString(record)

    fun decode(text: String): Either<UnreadableRecord, DispatchRecord> = try {
        Either.Right(mapper.readValue<DispatchRecord>(text))
    } catch (failure: JsonProcessingException) {
        Either.Left(UnreadableRecord(failure.originalMessage.orEmpty()))
    }
}
