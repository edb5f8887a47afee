/*
 * Header fields and paths of the callers' interface.
 */
package org.vanillalink.daemon.traffic

/** Names in the callers' interface. */
object CallerProtocol {
    /** Chat completions. */
    const val COMPLETIONS_PATH = "/v1/chat/completions"

    /** Plain services: `/services/{service}/...`. */
    const val SERVICES_PREFIX = "/services/"

    /** The caller's workspace, where its bearer key doesn't tell. */
    const val WORKSPACE_HEADER = "vanillalink-workspace"

    /** How many milliseconds the caller waits for the whole answer. */
    const val DEADLINE_HEADER = "vanillalink-deadline-milliseconds"

    /** The request's id, given with every answer. */
    const val REQUEST_HEADER = "vanillalink-request"

    /** The caller's name for an operation that must run at most once. */
    const val IDEMPOTENCY_HEADER = "idempotency-key"

    /** `true` in an answer that was kept from an earlier run. */
    const val REPLAYED_HEADER = "vanillalink-replayed"

    /** Set when a daemon passes a request to another failure domain's daemon; such a request isn't passed on. */
    const val FORWARDED_HEADER = "vanillalink-forwarded"
}
