import {isFresh} from '../../common/access/access.js';
import {currentMembers} from '../../common/consensus/state.js';
import type {Clock} from '../../common/core/clock.js';
import type {VmIdentity} from '../../common/core/types.js';
import type {ProcessState, Replica} from '../../common/reducer.js';
import type {EntryServer} from '../entry/entry-server.js';
import type {MembershipHost} from '../membership/membership-host.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {OrderHost} from '../orders/order-host.js';
import type {SchedulerHost} from '../scheduler/scheduler-host.js';

type DumpSources = {readonly self: VmIdentity; readonly clock: Clock; readonly state: ProcessState; readonly membership: MembershipHost; readonly quarantine: RequestQuarantine};
type EntryDumpSources = {readonly scheduler: SchedulerHost; readonly orders: OrderHost; readonly server: EntryServer};

function dumpReplica({consensus, control}: Replica, nowMs: number): unknown {
	const {outstandingWrite} = consensus.persist;
	return {
		role: consensus.role,
		term: consensus.hardState.term,
		leader: consensus.leader,
		diskId: consensus.diskId,
		members: currentMembers(consensus),
		joinRequests: consensus.joinRequests,
		lastIndex: consensus.log.lastIndex,
		commit: consensus.hardState.commit,
		applied: consensus.appliedIndex,
		snapshotIndex: consensus.snapshot?.index,
		writeWaitMs: outstandingWrite && nowMs - outstandingWrite.startedMs,
		progress: Object.fromEntries([...consensus.progress].map(([vm, {match, next}]) => [vm, {match, next}])),
		revision: control.data.revision,
		keys: control.data.keys.size,
		claims: control.data.claims.size,
		leases: control.data.leases,
		drains: control.data.drains,
		sessions: control.sessions,
	};
}

function dumpAccess({access}: ProcessState, nowMs: number): unknown {
	const {publishedView, confirmedMs} = access;
	return {
		isFresh: isFresh(access, nowMs),
		proofAgeMs: confirmedMs === undefined ? undefined : nowMs - confirmedMs,
		target: access.target,
		revision: access.view.revision,
		version: publishedView?.version,
		keys: access.view.keysByDigest.size,
		drainedUpstreams: publishedView?.drainedUpstreams,
		drainedVms: publishedView?.drainedVms,
		evacuatedZones: publishedView?.evacuatedZones,
		leases: publishedView?.leases,
	};
}

/** Returns the state of a process for operators. API keys and their digests are counted but never included. */
export function createStateDump({
	self, clock, state, membership, quarantine,
}: DumpSources, entry: EntryDumpSources | undefined): Record<string, unknown> {
	return {
		self,
		members: membership.members,
		leaving: membership.leavingVms,
		quarantine: quarantine.dump(),
		...(entry && {
			access: dumpAccess(state, clock.nowMs()),
			requests: entry.server.getState(),
			schedulers: entry.scheduler.dump(),
			orders: entry.orders.dump(),
		}),
		...(state.replica && {replica: dumpReplica(state.replica, clock.nowMs())}),
	};
}
