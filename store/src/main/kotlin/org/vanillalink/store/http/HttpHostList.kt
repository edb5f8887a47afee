/*
 * The platform's host list over HTTP.
 */
package org.vanillalink.store.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.store.HostList
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpResponseMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** A [HostList] behind `GET /hosts?failure-domain=`; a list that didn't change (by its entity tag) isn't sent again. */
class HttpHostList(
    client: HttpClient,
    settings: PlatformSettings,
) : HostList {
    private class KnownList(
        val entityTag: String?,
        val hosts: List<Host>,
    )

    private val caller = PlatformCaller(client, settings)
    private val known = ConcurrentHashMap<FailureDomainId, KnownList>()

    override fun hosts(failureDomain: FailureDomainId): CompletableFuture<Either<StoreFailure, List<Host>>> {
        val before = known[failureDomain]
        val headers = before?.entityTag?.let { mapOf("if-none-match" to it) }.orEmpty()
        return caller.call("GET", "/hosts?failure-domain=$failureDomain", headers = headers).thenApply { answer ->
            answer.flatMap {
                if (it.status ==
                    NOT_MODIFIED
                ) {
                    before?.hosts.orEmpty().right()
                } else {
                    read(failureDomain, it)
                }
            }
        }
    }

    private fun read(
        failureDomain: FailureDomainId,
        answer: HttpResponseMessage,
    ): Either<StoreFailure, List<Host>> = caller.decode(answer, HostsAnswer::class.java).map { list ->
        known[failureDomain] = KnownList(answer.headers["etag"], list.hosts)
        list.hosts
    }

    private companion object {
        const val NOT_MODIFIED = 304
    }
}
