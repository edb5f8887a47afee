/*
 * Identifiers shared by several modules.
 *
 * Each identifier has its own type, so that the compiler rejects a host id where a daemon id is expected. The wrapped
 * text is opaque. In JSON an identifier is a plain string, including as an object key.
 */
package org.vanillalink.model

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/** A machine that runs one target; the id is assigned by the platform. */
data class HostId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<HostId> {
        override fun compareTo(other: HostId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A set of hosts that can fail, be partitioned or be taken out of service together. */
data class FailureDomainId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<FailureDomainId> {
        override fun compareTo(other: FailureDomainId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** Hosts of one failure domain that share a fast interconnect; a serving group never spans two fabric domains. */
data class FabricDomainId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<FabricDomainId> {
        override fun compareTo(other: FabricDomainId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A set of failure domains that are close to each other. */
data class RegionId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<RegionId> {
        override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A customer (tenant); its requests, responses and idempotency keys are isolated from those of all others. */
data class WorkspaceId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<WorkspaceId> {
        override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** The name by which callers address a model or a plain service. */
data class ServiceName
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<ServiceName> {
        override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A serving group; the id is stable while the members change. */
data class GroupId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<GroupId> {
        override fun compareTo(other: GroupId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A daemon; the id is stable across restarts on the same address. */
data class DaemonId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<DaemonId> {
        override fun compareTo(other: DaemonId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One process instance; a target or daemon gets a new id at each start. */
data class BootId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<BootId> {
        override fun compareTo(other: BootId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One attempt of one request at one target, which must echo the id in its response. */
data class AttemptId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<AttemptId> {
        override fun compareTo(other: AttemptId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** One request of one caller, the same for all its attempts and on all daemons that forward it. */
data class RequestId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<RequestId> {
        override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }

/** A caller's key for an operation that must run at most once; unique within workspace and service. */
data class IdempotencyKey
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) : Comparable<IdempotencyKey> {
        override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

        override fun toString(): String = value
    }
