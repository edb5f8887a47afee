/*
 * Writes peers' messages as JSON. Fields that are optional for the receiver are omitted where they have the default
 * value: a daemon sends and receives many messages per second, and most of them consist of little else.
 */
package org.vanillalink.gateway.peers

import com.fasterxml.jackson.core.JsonGenerator
import org.vanillalink.model.Endpoint
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.peers.DomainMember
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.transport.Json
import java.io.ByteArrayOutputStream

internal object PeerMessageWriter {
    fun write(message: PeerMessage): ByteArray {
        val output = ByteArrayOutputStream(INITIAL_BYTES)
        Json.mapper.createGenerator(output).use { it.writeMessage(message) }
        return output.toByteArray()
    }

    private fun JsonGenerator.writeMessage(message: PeerMessage) {
        writeStartObject()
        writeStringField("daemon", message.daemon.value)
        writeStringField("failureDomain", message.failureDomain.value)
        writeObjectFieldStart("endpoint")
        writeEndpoint(message.endpoint)
        writeEndObject()
        writeNumberField("startedAt", message.startedAt)
        writeNumberField("sequence", message.sequence)
        writeNumberField("storeAge", message.storeAge)
        writeBooleanField("isLeaving", message.isLeaving)
        writeNumberField("period", message.period)
        writeStatus(message)
        writeList("strikes", message.strikes) { writeString(it) }
        writeOptionalFields(message)
        writeEndObject()
    }

    private fun JsonGenerator.writeStatus(message: PeerMessage) {
        writeObjectFieldStart("inFlight")
        message.inFlight.forEach { (target, count) -> writeNumberField(target.value, count) }
        writeEndObject()
        writeObjectFieldStart("demand")
        message.demand.forEach { (model, slots) -> writeNumberField(model, slots) }
        writeEndObject()
        writeGroupKeys("suspects", message.suspects)
        writeList("leaving", message.leaving) { writeInstance(it) }
        writeList("controlled", message.controlled) { ControlledDomainWriter.write(this, it) }
    }

    private fun JsonGenerator.writeOptionalFields(message: PeerMessage) {
        if (message.poison != PoisonReport()) writePOJOField("poison", message.poison)
        writeOptionalList("limits", message.limits) { writeLimit(it) }
        if (message.configurationVersion != 0L) writeNumberField("configurationVersion", message.configurationVersion)
        if (message.canRelay) writeBooleanField("canRelay", true)
        if (message.isForDomain) writeBooleanField("isForDomain", true)
        message.relayedBy?.let { writeStringField("relayedBy", it.value) }
        writeOptionalList("members", message.members) { writeMember(it) }
        writeOptionalList("unheard", message.unheard) { writeString(it.value) }
        writeOptionalList("progress", message.progress) { writePOJO(it) }
    }

    private fun JsonGenerator.writeEndpoint(endpoint: Endpoint) {
        writeStringField("address", endpoint.address)
        writeNumberField("port", endpoint.port)
    }

    private fun JsonGenerator.writeInstance(instance: TargetInstance) {
        writeStartObject()
        writeStringField("id", instance.id.value)
        writeFieldName("bornAt")
        instance.bornAt?.let { writeNumber(it) } ?: writeNull()
        writeEndObject()
    }

    private fun JsonGenerator.writeLimit(limit: ReportedLimit) {
        writeStartObject()
        writeFieldName("target")
        writeInstance(limit.target)
        writeFieldName("requestsPerSecond")
        limit.requestsPerSecond?.let { writeNumber(it) } ?: writeNull()
        writeNumberField("age", limit.age)
        writeEndObject()
    }

    private fun JsonGenerator.writeMember(member: DomainMember) {
        writeStartObject()
        writeStringField("daemon", member.daemon.value)
        writeEndpoint(member.endpoint)
        writeNumberField("startedAt", member.startedAt)
        writeNumberField("storeAge", member.storeAge)
        if (member.isLeaving) writeBooleanField("isLeaving", true)
        writeEndObject()
    }

    private fun <T> JsonGenerator.writeOptionalList(
        name: String,
        elements: Collection<T>,
        writeElement: (T) -> Unit,
    ) {
        if (elements.isNotEmpty()) writeList(name, elements, writeElement)
    }

    private const val INITIAL_BYTES = 1_024
}
