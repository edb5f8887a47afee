/*
 * What operators and targets have written, followed change by change.
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

/** Which part of the registry is followed. */
enum class RegistryPart { OPERATORS, TARGETS }

/** One record of the registry. */
sealed interface RegistryRecord {
    /** A version of the configuration. */
    data class Configuration(
        val configuration: ServingConfiguration,
    ) : RegistryRecord

    /** Nothing more is to be sent to the targets of [failureDomain]. */
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

    /** A record under [key] that can't be used. Its target, if it is one, must not be used either. */
    data class Unreadable(
        val key: String,
        val reason: String,
    ) : RegistryRecord
}

/** All records as of [version], or those changed since another version. */
data class RegistryRecords(
    val records: List<RegistryRecord>,
    val version: Long,
)

/** Why changes can't be told. */
sealed interface RegistryFailure {
    /** Changes since the version asked for are no longer known; read all. */
    data object HistoryLost : RegistryFailure

    /** The registry's store gave no usable answer. */
    data class Unavailable(
        val cause: StoreFailure,
    ) : RegistryFailure
}

/** Reads the registry. Calls complete once, on any thread. */
interface Registry {
    /** All records of [part]. */
    fun readAll(part: RegistryPart): CompletableFuture<Either<RegistryFailure, RegistryRecords>>

    /** Changes of [part] after [version]; waits up to [maxWait] for the first. */
    fun readChanges(
        part: RegistryPart,
        version: Long,
        maxWait: Duration,
    ): CompletableFuture<Either<RegistryFailure, RegistryRecords>>
}
