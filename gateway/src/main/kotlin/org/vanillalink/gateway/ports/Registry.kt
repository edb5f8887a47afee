/*
 * The registry: records written by operators and targets, and their changes.
 */
package org.vanillalink.gateway.ports

import arrow.core.Either
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HttpRequestHandler
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** The parts of the registry, which are followed separately. */
enum class RegistryPart { OPERATORS, TARGETS }

/** One record of the registry. */
sealed interface RegistryRecord {
    /** A version of the configuration. */
    data class Configuration(
        val configuration: ServingConfiguration,
    ) : RegistryRecord

    /** Targets of [failureDomain] must get no further requests. */
    data class Evacuated(
        val failureDomain: FailureDomainId,
    ) : RegistryRecord

    /** Targets of [failureDomain] may be used again. */
    data class Restored(
        val failureDomain: FailureDomainId,
    ) : RegistryRecord

    /** A target's entry was written. */
    data class Listed(
        val entry: TargetEntry,
    ) : RegistryRecord

    /** A target's entry was removed. */
    data class Removed(
        val target: HostId,
    ) : RegistryRecord

    /** A record under [key] that can't be decoded. If it is a target's entry, the target must not be used either. */
    data class Unreadable(
        val key: String,
        val reason: String,
    ) : RegistryRecord
}

/**
 * All records as of [version], or those changed between a requested version and [version].
 *
 * A store that comes back from an older copy has lost its latest records and gives out versions a second time, so
 * versions of different eras can't be compared.
 */
data class RegistryRecords(
    val records: List<RegistryRecord>,
    val version: Long,
    /** How often the store has come back from a copy, or null if it doesn't say. */
    val era: Long? = null,
    /** How old the state is, or null if the store itself has answered. */
    val relayed: RelayedAge? = null,
)

/** The ages, in milliseconds, of an answer of the store that a peer has passed on. */
data class RelayedAge(
    /** How much earlier than the request to the peer the state was current at the latest. */
    val confirmation: Long,
    /** How long before the peer's answer the store had answered the peer. */
    val answer: Long,
)

/** Why a read failed. */
sealed interface RegistryFailure {
    /** The changes since the requested version are no longer stored; a full read is needed. */
    data object HistoryLost : RegistryFailure

    /** The store returned no usable response. */
    data class Unavailable(
        val cause: StoreFailure,
    ) : RegistryFailure
}

/** Reads the registry. Futures complete once, on any thread. */
interface Registry {
    /** Reads all records of [part]. */
    fun readAll(part: RegistryPart): CompletableFuture<Either<RegistryFailure, RegistryRecords>>

    /** Reads changes of [part] after [version] of [era]; waits up to [maxWait] for the first one. */
    fun readChanges(
        part: RegistryPart,
        version: Long,
        era: Long?,
        maxWait: Duration,
    ): CompletableFuture<Either<RegistryFailure, RegistryRecords>>
}

/** The registry as peers pass it on. */
interface RegistryRelay : HttpRequestHandler {
    /** Reads changes through the peer at [endpoint]; full reads fail. */
    fun peer(endpoint: Endpoint): Registry

    /** How many requests of peers were answered, and how many were sent to the store. */
    val answered: Long
    val refused: Long
}
