/*
 * Identifiers that several modules share.
 *
 * Each identifier is its own type, so that a host cannot be passed where a daemon is meant. The wrapped text is opaque
 * to the system. In JSON an identifier is a plain string, also as the key of an object.
 */
package org.vanillalink.model

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/** A machine that runs one target, as the platform names it. */
data class HostId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<HostId> {
        override fun compareTo(other: HostId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A set of hosts that can be lost, cut off or taken out together. */
data class FailureDomainId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<FailureDomainId> {
        override fun compareTo(other: FailureDomainId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** Hosts within one failure domain that share a fast fabric; a group never spans two. */
data class FabricDomainId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<FabricDomainId> {
        override fun compareTo(other: FabricDomainId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A set of failure domains close to each other. */
data class RegionId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<RegionId> {
        override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A customer whose requests, answers and idempotency keys are kept apart from all others. */
data class WorkspaceId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<WorkspaceId> {
        override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A model or a plain service that callers address by name. */
data class ServiceName
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<ServiceName> {
        override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A serving group; it keeps its identifier while its members change. */
data class GroupId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<GroupId> {
        override fun compareTo(other: GroupId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** An entry host's daemon; the same after a restart on the same address. */
data class DaemonId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<DaemonId> {
        override fun compareTo(other: DaemonId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One run of a process; a restarted target or daemon has another. */
data class BootId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<BootId> {
        override fun compareTo(other: BootId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One try of one request at one target; the target must repeat it in its answer. */
data class AttemptId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<AttemptId> {
        override fun compareTo(other: AttemptId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One request of one caller, over all its attempts and daemons. */
data class RequestId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<RequestId> {
        override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A caller's name for one operation that must run at most once; unique within workspace and service. */
data class IdempotencyKey
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<IdempotencyKey> {
        override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }
