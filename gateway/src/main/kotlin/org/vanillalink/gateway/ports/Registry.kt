/*
 * The registry: records written by operators and targets, and their changes.
 */
package org.vanillalink.gateway.ports

import arrow.core.Either
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.store.StoreFailure
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

    /** Reads changes of [part] after [version]; waits up to [maxWait] for the first one. */
    fun readChanges(
        part: RegistryPart,
        version: Long,
        maxWait: Duration,
    ): CompletableFuture<Either<RegistryFailure, RegistryRecords>>
}
