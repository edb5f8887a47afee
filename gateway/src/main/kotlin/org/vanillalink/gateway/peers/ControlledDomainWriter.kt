/*
 * Writes the groups in peers' messages as JSON.
 */
package org.vanillalink.gateway.peers

import com.fasterxml.jackson.core.JsonGenerator
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.targets.GroupKey

internal object ControlledDomainWriter {
    fun write(
        generator: JsonGenerator,
        domain: ControlledDomain,
    ) = generator.writeControlledDomain(domain)

    private fun JsonGenerator.writeControlledDomain(domain: ControlledDomain) {
        writeStartObject()
        writeStringField("failureDomain", domain.failureDomain.value)
        writeNumberField("term", domain.term)
        domain.groups?.let { groups -> writeList("groups", groups) { writeGroup(it) } } ?: writeNullField("groups")
        writeGroupKeys("broken", domain.broken)
        writeBooleanField("isSameAsBefore", domain.isSameAsBefore)
        writeEndObject()
    }

    private fun JsonGenerator.writeGroup(group: AnnouncedGroup) {
        writeStartObject()
        writeFieldName("key")
        writeGroupKey(group.key)
        writeStringField("model", group.model)
        writeList("members", group.members) { writeString(it.value) }
        writeEndObject()
    }
}

internal fun JsonGenerator.writeGroupKeys(
    name: String,
    keys: Collection<GroupKey>,
) = writeList(name, keys) { writeGroupKey(it) }

private fun JsonGenerator.writeGroupKey(key: GroupKey) {
    writeStartObject()
    writeStringField("group", key.group)
    writeNumberField("epoch", key.epoch)
    writeEndObject()
}

internal fun <T> JsonGenerator.writeList(
    name: String,
    elements: Collection<T>,
    writeElement: (T) -> Unit,
) {
    writeArrayFieldStart(name)
    elements.forEach(writeElement)
    writeEndArray()
}
