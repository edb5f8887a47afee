/*
 * Who is a member of which group, as heads find it out from their members.
 */
package org.vanillalink.standins.runner

/** Shared by the runners of a deployment; thread-safe. */
class GroupMemberships(
    private val now: () -> Long = System::currentTimeMillis,
) {
    private val groups = HashMap<String, GroupIdentity>()
    private val incompleteSince = HashMap<GroupIdentity, Long>()
    private val streams = HashMap<GroupIdentity, Int>()
    private val listeners = HashMap<String, () -> Unit>()

    /** Calls [action] whenever a group of which [head] is the head loses a member. */
    @Synchronized
    fun onIncomplete(
        head: String,
        action: () -> Unit,
    ) {
        listeners[head] = action
    }

    /** Records that [member] is in [group] now, and in no other. */
    @Synchronized
    fun update(
        member: String,
        group: GroupIdentity?,
    ) {
        val previous = if (group == null) groups.remove(member) else groups.put(member, group)
        if (previous == null || previous == group || previous in incompleteSince) return
        incompleteSince[previous] = now()
        listeners[previous.members.first()]?.invoke()
    }

    /** Returns when [group] lost a member, or null if it has not; a member that has never joined isn't missed. */
    @Synchronized
    fun incompleteSince(group: GroupIdentity): Long? = incompleteSince[group]

    /** Records how many streams the head of [group] has under way. */
    @Synchronized
    fun recordStreams(
        group: GroupIdentity,
        count: Int,
    ) {
        streams[group] = count
    }

    /** Whether the head of the group that [member] is in has streams under way. */
    @Synchronized
    fun hasWork(member: String): Boolean = groups[member]?.let { (streams[it] ?: 0) > 0 } ?: false
}
