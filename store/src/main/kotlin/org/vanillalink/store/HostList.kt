/*
 * The platform's list of live and leaving hosts. The list is eventually consistent and can be out of date.
 */
package org.vanillalink.store

import arrow.core.Either
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import java.util.concurrent.CompletableFuture

/** Client of the host list. */
interface HostList {
    /** Fetches the hosts of [failureDomain] that the platform currently lists. */
    fun hosts(failureDomain: FailureDomainId): CompletableFuture<Either<StoreFailure, List<Host>>>
}
