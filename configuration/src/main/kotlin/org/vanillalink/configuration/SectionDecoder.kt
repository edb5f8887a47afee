/*
 * Decodes the JSON text of each section into its part of the document.
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

/** Decodes one [section] and adds its validation errors to [errorCollector]. */
internal class SectionDecoder(
    section: ConfigurationSection,
    private val errorCollector: ErrorCollector = ErrorCollector(section),
) {
    val errors: List<ConfigurationError> get() = errorCollector.errors

    fun decodeServices(content: String): Map<ServiceName, ServiceSettings> =
        decodeEntries(content) { readService(it) }.mapKeys { ServiceName(it.key) }

    fun decodeWorkspaces(content: String): Map<WorkspaceId, WorkspaceSettings> =
        decodeEntries(content) { readWorkspace(it) }.mapKeys { WorkspaceId(it.key) }

    fun decodeFailureDomains(content: String): Map<FailureDomainId, FailureDomainSettings> =
        decodeEntries(content) { readFailureDomain(it) }.mapKeys { FailureDomainId(it.key) }

    fun decodeTargets(content: String): TargetSettings =
        decodeObject(content, TargetSettings()) { readTargetSettings(it) }

    fun decodeLimits(content: String): LimitSettings = decodeObject(content, LimitSettings()) { readLimitSettings(it) }

    private fun readService(reader: StrictObjectReader): ServiceSettings {
        val defaults = ServiceSettings(ServiceKind.MODEL)
        return ServiceSettings(
            kind = reader.readEnum("kind", ServiceKind.entries),
            membersPerGroup = reader.readInt("membersPerGroup", defaults.membersPerGroup, MEMBERS_RANGE),
            groupsPerFailureDomain =
                reader.readInt("groupsPerFailureDomain", defaults.groupsPerFailureDomain, GROUPS_RANGE),
            requestsPerGroup = reader.readInt("requestsPerGroup", defaults.requestsPerGroup, REQUESTS_RANGE),
            priority = reader.readInt("priority", defaults.priority, PRIORITY_RANGE),
            repeatableMethods =
                reader.readStringSet("repeatableMethods", defaults.repeatableMethods, METHOD_PATTERN, "an HTTP method"),
        )
    }

    private fun readWorkspace(reader: StrictObjectReader): WorkspaceSettings {
        val defaults = WorkspaceSettings()
        return WorkspaceSettings(
            share = reader.readInt("share", defaults.share, SHARE_RANGE),
            keyHashes =
                reader.readStringSet("keyHashes", emptySet(), KEY_HASH_PATTERN, "64 lower-case hexadecimal digits"),
            services =
                reader
                    .readStringSet("services", emptySet(), NAME_PATTERN, NAME_FORMAT)
                    .mapTo(mutableSetOf(), ::ServiceName),
            priority = reader.readInt("priority", defaults.priority, PRIORITY_RANGE),
        )
    }

    private fun readFailureDomain(reader: StrictObjectReader): FailureDomainSettings = FailureDomainSettings(
        region = RegionId(reader.readRequiredString("region", NAME_PATTERN, NAME_FORMAT)),
        state = reader.readEnum("state", FailureDomainState.entries, FailureDomainState.IN),
    )

    private fun readTargetSettings(reader: StrictObjectReader): TargetSettings {
        val defaults = TargetSettings()
        val checkingHosts = reader.readStringSet("checkingFencing", emptySet(), NAME_PATTERN, NAME_FORMAT)
        return TargetSettings(
            coldRequests = reader.readInt("coldRequests", defaults.coldRequests, REQUESTS_RANGE),
            reportFreshMilliseconds =
                reader.readLong("reportFreshMilliseconds", defaults.reportFreshMilliseconds, REPORT_FRESH_MS_RANGE),
            checkingFencing = checkingHosts.mapTo(mutableSetOf(), ::HostId),
            weightLoadsAtOnce = reader.readInt("weightLoadsAtOnce", defaults.weightLoadsAtOnce, WEIGHT_LOADS_RANGE),
        )
    }

    private fun readLimitSettings(reader: StrictObjectReader): LimitSettings {
        val defaults = LimitSettings()
        val deadline = defaults.defaultDeadlineMilliseconds
        return LimitSettings(
            requestBodyBytes = reader.readInt("requestBodyBytes", defaults.requestBodyBytes, BODY_BYTES_RANGE),
            queuedRequests = reader.readInt("queuedRequests", defaults.queuedRequests, QUEUED_REQUESTS_RANGE),
            defaultDeadlineMilliseconds = reader.readLong("defaultDeadlineMilliseconds", deadline, DEADLINE_MS_RANGE),
            retryFraction = reader.readDouble("retryFraction", defaults.retryFraction, RETRY_FRACTION_RANGE),
            targetsPerPoisonRequest =
                reader.readInt("targetsPerPoisonRequest", defaults.targetsPerPoisonRequest, POISON_TARGETS_RANGE),
        )
    }

    private fun <Entry> decodeEntries(
        content: String,
        read: (StrictObjectReader) -> Entry,
    ): Map<String, Entry> {
        val rootNode = parse(content) ?: return emptyMap()
        return rootNode
            .properties()
            .mapNotNull { (key, node) -> decodeEntry(key, node, read)?.let { key to it } }
            .toMap()
    }

    private fun <Entry> decodeEntry(
        key: String,
        node: JsonNode,
        read: (StrictObjectReader) -> Entry,
    ): Entry? {
        if (!NAME_PATTERN.matches(key)) errorCollector.add(key, ConfigurationProblem.OUT_OF_RANGE, null, NAME_FORMAT)
        if (node is ObjectNode) return readStrictly(StrictObjectReader(node, key, errorCollector), read)
        errorCollector.add(key, ConfigurationProblem.WRONG_TYPE, node, "an object")
        return null
    }

    private fun <Content> decodeObject(
        content: String,
        default: Content,
        read: (StrictObjectReader) -> Content,
    ): Content {
        val rootNode = parse(content) ?: return default
        return readStrictly(StrictObjectReader(rootNode, "", errorCollector), read)
    }

    private fun <Content> readStrictly(
        reader: StrictObjectReader,
        read: (StrictObjectReader) -> Content,
    ): Content = read(reader).also { reader.rejectUnknownKeys() }

    private fun parse(content: String): ObjectNode? = try {
        val node = MAPPER.readTree(content)
        if (node !is ObjectNode) errorCollector.add("", ConfigurationProblem.WRONG_TYPE, node, "an object")
        node as? ObjectNode
    } catch (failure: JsonProcessingException) {
        addParseError(failure)
        null
    }

    private fun addParseError(failure: JsonProcessingException) {
        val isDuplicateKey = failure.originalMessage.startsWith("Duplicate field")
        val problem = if (isDuplicateKey) ConfigurationProblem.DUPLICATE_KEY else ConfigurationProblem.MALFORMED_JSON
        val position = failure.location?.let { "line ${it.lineNr}, column ${it.columnNr}" }.orEmpty()
        val allowed =
            if (isDuplicateKey) "each key once: ${failure.originalMessage}" else "JSON: ${failure.originalMessage}"
        errorCollector.add(position, problem, null, allowed)
    }

    private companion object {
        val MAPPER: JsonMapper =
            JsonMapper
                .builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build()
        val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
        const val NAME_FORMAT = "a name of 1 to 100 letters, digits, '.', '_', ':' or '-'"
        val METHOD_PATTERN = Regex("[A-Z]{1,20}")
        val KEY_HASH_PATTERN = Regex("[0-9a-f]{64}")
        val MEMBERS_RANGE = 1..64
        val GROUPS_RANGE = 0..10_000
        val REQUESTS_RANGE = 1..10_000
        val PRIORITY_RANGE = -100..100
        val SHARE_RANGE = 1..10_000
        val REPORT_FRESH_MS_RANGE = 100L..60_000L
        val WEIGHT_LOADS_RANGE = 1..1_000
        val BODY_BYTES_RANGE = 1_024..67_108_864
        val QUEUED_REQUESTS_RANGE = 0..100_000
        val DEADLINE_MS_RANGE = 100L..3_600_000L
        val RETRY_FRACTION_RANGE = 0.0..1.0
        val POISON_TARGETS_RANGE = 1..10
    }
}
