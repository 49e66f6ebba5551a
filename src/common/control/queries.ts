/** Functions that read the replicated state, for the view of entry processes and for the queries of operators, claimants and the holder of the lease `orders`. */
import {claimKey, claimStatus} from './apply.js';
import type {
	Change, ReadQuery, ReadResult, ViewPage,
} from './messages.js';
import {currentVersion} from './state.js';
import type {ReplicatedState} from './state.js';

/** Maximum number of keys in a page, at about 150 bytes each; a page must fit in one frame between processes. */
const keysPerPage = 3000;

function isNotConfiguration(change: ReplicatedState['changes'][number]): change is Exclude<Change, {kind: 'configuration'}> {
	return change.kind !== 'configuration';
}

/**
Returns the changes after `revision`, or undefined if not all of them are still kept or the state has not reached `revision`.
All configuration changes among them are replaced by a single change to the current configuration.
*/
export function changesSince(state: ReplicatedState, revision: number): Change[] | undefined {
	const oldestRetained = state.changes[0]?.revision ?? state.revision + 1;
	if (revision + 1 < oldestRetained || revision > state.revision) {
		return undefined;
	}

	const missed = state.changes.slice(revision + 1 - oldestRetained);
	const changes: Change[] = missed.filter(change => isNotConfiguration(change));
	if (changes.length < missed.length) {
		changes.unshift(currentConfiguration(state)!);
	}

	return changes;
}

function currentConfiguration(state: ReplicatedState): Change | undefined {
	const current = state.history.at(-1);
	return current && {
		kind: 'configuration', revision: state.revision, version: current.version, configuration: current.configuration,
	};
}

/** Returns the page of the view after `page.cursor`, or the first page if `page` is undefined. Keys come last, in the order in which they were issued. */
export function readViewPage(state: ReplicatedState, page?: {readonly base: number; readonly cursor: number}): ViewPage {
	const items: Change[] = page ? [] : readViewWithoutKeys(state);
	let next: number | undefined;
	let count = 0;
	for (const {keyId, digest, tenant: customer, revision} of state.keys.values()) {
		if (revision <= (page?.cursor ?? 0)) {
			continue;
		}

		if (count === keysPerPage) {
			next = items.at(-1)!.revision;
			break;
		}

		count++;
		items.push({
			kind: 'key', revision, keyId, digest, tenant: customer,
		});
	}

	return {base: page?.base ?? state.revision, items, ...(next !== undefined && {next})};
}

function readViewWithoutKeys(state: ReplicatedState): Change[] {
	const {revision} = state;
	const configuration = currentConfiguration(state);
	const items: Change[] = configuration ? [configuration] : [];
	for (const {target, name} of state.drains.values()) {
		items.push({
			kind: 'drain', revision, target, name, draining: true,
		});
	}

	for (const [name, {holder, epoch}] of state.leases) {
		if (holder) {
			items.push({
				kind: 'lease', revision, name, holder, epoch,
			});
		}
	}

	return items;
}

/** Answers a query from `state`. Does not check that the state is current, which requires a read-index before the call. */
export function readState(state: ReplicatedState, query: ReadQuery): ReadResult {
	switch (query.what) {
		case 'configuration': {
			const version = query.version ?? currentVersion(state);
			const found = state.history.find(entry => entry.version === version);
			return {what: 'configuration', version, ...(found && {source: found.source})};
		}

		case 'history': {
			return {
				what: 'history',
				version: currentVersion(state),
				logTimeMs: state.logTimeMs,
				versions: state.history.map(({version, changeId, appliedMs}) => ({version, changeId, appliedMs})),
			};
		}

		case 'keys': {
			const remaining = [...state.keys.values()].filter(({revision}) => revision > query.after);
			const keys = remaining.slice(0, keysPerPage).map(({keyId, tenant: customer, revision}) => ({keyId, tenant: customer, revision}));
			return {what: 'keys', keys, ...(keys.length < remaining.length && {next: keys.at(-1)!.revision})};
		}

		case 'drains': {
			return {what: 'drains', revision: state.revision, drains: [...state.drains.values()]};
		}

		case 'orders': {
			const orders = [...state.orders.values()];
			return {what: 'orders', orders: query.open ? orders.filter(({status}) => status === 'submitted') : orders};
		}

		case 'leases': {
			const leases = [...state.leases].map(([name, {holder, epoch}]) => ({name, epoch, ...(holder && {holder})}));
			return {what: 'leases', leases};
		}

		case 'claim': {
			return {what: 'claim', outcome: claimStatus(state.claims.get(claimKey(query)), query.requestDigest)};
		}
	}
}
