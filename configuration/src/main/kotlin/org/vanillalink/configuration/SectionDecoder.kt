/*
 * Reads each section's JSON text into its part of the document.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RegionId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** Reads one [section]; what is wrong is added to [errors]. */
internal class SectionDecoder(
    section: ConfigurationSection,
    private val errors: ErrorCollector = ErrorCollector(section),
) {
    val found: List<ConfigurationError> get() = errors.errors

    fun services(content: String): Map<ServiceName, ServiceSettings> =
        entries(content) { service(it) }.mapKeys { ServiceName(it.key) }

    fun workspaces(content: String): Map<WorkspaceId, WorkspaceSettings> =
        entries(content) { workspace(it) }.mapKeys { WorkspaceId(it.key) }

    fun failureDomains(content: String): Map<FailureDomainId, FailureDomainSettings> =
        entries(content) { failureDomain(it) }.mapKeys { FailureDomainId(it.key) }

    fun targets(content: String): TargetSettings = single(content, TargetSettings()) { targetSettings(it) }

    fun limits(content: String): LimitSettings = single(content, LimitSettings()) { limitSettings(it) }

    private fun service(reader: ObjectReader): ServiceSettings {
        val defaults = ServiceSettings(ServiceKind.MODEL)
        return ServiceSettings(
            kind = reader.choice("kind", ServiceKind.entries),
            membersPerGroup = reader.integer("membersPerGroup", defaults.membersPerGroup, MEMBERS),
            groupsPerFailureDomain = reader.integer("groupsPerFailureDomain", defaults.groupsPerFailureDomain, GROUPS),
            requestsPerGroup = reader.integer("requestsPerGroup", defaults.requestsPerGroup, REQUESTS),
            priority = reader.integer("priority", defaults.priority, PRIORITY),
            repeatableMethods = reader.texts("repeatableMethods", defaults.repeatableMethods, METHOD, "an HTTP method"),
        )
    }

    private fun workspace(reader: ObjectReader): WorkspaceSettings {
        val defaults = WorkspaceSettings()
        return WorkspaceSettings(
            share = reader.integer("share", defaults.share, SHARE),
            keyHashes = reader.texts("keyHashes", emptySet(), KEY_HASH, "64 lower-case hexadecimal digits"),
            services = reader.texts("services", emptySet(), NAME, NAME_ALLOWED).mapTo(mutableSetOf(), ::ServiceName),
            priority = reader.integer("priority", defaults.priority, PRIORITY),
        )
    }

    private fun failureDomain(reader: ObjectReader): FailureDomainSettings = FailureDomainSettings(
        region = RegionId(reader.requiredText("region", NAME, NAME_ALLOWED)),
        state = reader.choice("state", FailureDomainState.entries, FailureDomainState.IN),
    )

    private fun targetSettings(reader: ObjectReader): TargetSettings {
        val defaults = TargetSettings()
        val checking = reader.texts("checkingFencing", emptySet(), NAME, NAME_ALLOWED)
        return TargetSettings(
            coldRequests = reader.integer("coldRequests", defaults.coldRequests, REQUESTS),
            reportFreshMilliseconds = reader.long("reportFreshMilliseconds", defaults.reportFreshMilliseconds, FRESH),
            checkingFencing = checking.mapTo(mutableSetOf(), ::HostId),
            weightLoadsAtOnce = reader.integer("weightLoadsAtOnce", defaults.weightLoadsAtOnce, WEIGHT_LOADS),
        )
    }

    private fun limitSettings(reader: ObjectReader): LimitSettings {
        val defaults = LimitSettings()
        val deadline = defaults.defaultDeadlineMilliseconds
        return LimitSettings(
            requestBodyBytes = reader.integer("requestBodyBytes", defaults.requestBodyBytes, BODY_BYTES),
            queuedRequests = reader.integer("queuedRequests", defaults.queuedRequests, QUEUE),
            defaultDeadlineMilliseconds = reader.long("defaultDeadlineMilliseconds", deadline, DEADLINE),
            retryFraction = reader.fraction("retryFraction", defaults.retryFraction, RETRY_FRACTION),
            targetsPerPoisonRequest =
                reader.integer("targetsPerPoisonRequest", defaults.targetsPerPoisonRequest, POISON_TARGETS),
        )
    }

    private fun <Entry> entries(
        content: String,
        read: (ObjectReader) -> Entry,
    ): Map<String, Entry> {
        val top = parse(content) ?: return emptyMap()
        return top.properties().mapNotNull { (key, node) -> entry(key, node, read)?.let { key to it } }.toMap()
    }

    private fun <Entry> entry(
        key: String,
        node: JsonNode,
        read: (ObjectReader) -> Entry,
    ): Entry? {
        if (!NAME.matches(key)) errors.add(key, ConfigurationProblem.OUT_OF_RANGE, null, NAME_ALLOWED)
        if (node is ObjectNode) return readWhole(ObjectReader(node, key, errors), read)
        errors.add(key, ConfigurationProblem.WRONG_TYPE, node, "an object")
        return null
    }

    private fun <Entry> single(
        content: String,
        default: Entry,
        read: (ObjectReader) -> Entry,
    ): Entry {
        val top = parse(content) ?: return default
        return readWhole(ObjectReader(top, "", errors), read)
    }

    private fun <Entry> readWhole(
        reader: ObjectReader,
        read: (ObjectReader) -> Entry,
    ): Entry = read(reader).also { reader.finish() }

    private fun parse(content: String): ObjectNode? = try {
        val node = MAPPER.readTree(content)
        if (node !is ObjectNode) errors.add("", ConfigurationProblem.WRONG_TYPE, node, "an object")
        node as? ObjectNode
    } catch (failure: JsonProcessingException) {
        addParseFailure(failure)
        null
    }

    private fun addParseFailure(failure: JsonProcessingException) {
        val duplicate = failure.originalMessage.startsWith("Duplicate field")
        val problem = if (duplicate) ConfigurationProblem.DUPLICATE_KEY else ConfigurationProblem.MALFORMED_JSON
        val place = failure.location?.let { "line ${it.lineNr}, column ${it.columnNr}" }.orEmpty()
        val allowed = if (duplicate) "each key once: ${failure.originalMessage}" else "JSON: ${failure.originalMessage}"
        errors.add(place, problem, null, allowed)
    }

    private companion object {
        val MAPPER: JsonMapper =
            JsonMapper
                .builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build()
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
        const val NAME_ALLOWED = "a name of 1 to 100 letters, digits, '.', '_', ':' or '-'"
        val METHOD = Regex("[A-Z]{1,20}")
        val KEY_HASH = Regex("[0-9a-f]{64}")
        val MEMBERS = 1..64
        val GROUPS = 0..10_000
        val REQUESTS = 1..10_000
        val PRIORITY = -100..100
        val SHARE = 1..10_000
        val FRESH = 100L..60_000L
        val WEIGHT_LOADS = 1..1_000
        val BODY_BYTES = 1_024..67_108_864
        val QUEUE = 0..100_000
        val DEADLINE = 100L..3_600_000L
        val RETRY_FRACTION = 0.0..1.0
        val POISON_TARGETS = 1..10
    }
}
