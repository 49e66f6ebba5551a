/** The shared state as an entry process keeps it: configuration, keys, drains and leases at one revision. */
import type {SharedConfiguration} from '../configuration/types.js';
import type {Change, ViewPage} from '../control/messages.js';
import type {VmId} from '../core/types.js';
import type {Identity, LeaseView, View} from '../services/access-service.js';

/** Decodes the bytes of a checked configuration. */
export type DecodeConfiguration = (bytes: Uint8Array) => SharedConfiguration;

/** A view that changes are applied to. */
export type ViewState = {
	revision: number;
	version: number;
	configuration: SharedConfiguration | undefined;
	/** By SHA-256 digest of the key in hexadecimal. */
	readonly keysByDigest: Map<string, Identity>;
	readonly digestsById: Map<string, string>;
	readonly drainedUpstreams: Set<string>;
	readonly drainedVms: Set<VmId>;
	readonly leases: Map<string, LeaseView>;
};

export function createViewState(): ViewState {
	return {
		revision: 0,
		version: 0,
		configuration: undefined,
		keysByDigest: new Map(),
		digestsById: new Map(),
		drainedUpstreams: new Set(),
		drainedVms: new Set(),
		leases: new Map(),
	};
}

/** Applies a change; returns the id of a key that stopped working. */
export function applyChange(view: ViewState, change: Change, decode: DecodeConfiguration): string | undefined {
	switch (change.kind) {
		case 'configuration': {
			view.configuration = decode(change.configuration);
			view.version = change.version;
			return undefined;
		}

		case 'key': {
			const {keyId, tenant, digest} = change;
			view.keysByDigest.set(digest, {keyId, tenant});
			view.digestsById.set(keyId, digest);
			return undefined;
		}

		case 'key-withdrawn': {
			const digest = view.digestsById.get(change.keyId);
			view.keysByDigest.delete(digest ?? '');
			view.digestsById.delete(change.keyId);
			return digest === undefined ? undefined : change.keyId;
		}

		case 'drain': {
			const drained = change.target === 'vm' ? view.drainedVms : view.drainedUpstreams;
			if (change.draining) {
				drained.add(change.name);
			} else {
				drained.delete(change.name);
			}

			return undefined;
		}

		case 'lease': {
			const {name, holder, epoch} = change;
			if (holder) {
				view.leases.set(name, {holder, epoch});
			} else {
				view.leases.delete(name);
			}
		}
	}
}

/** The view as the request path reads it; later changes do not touch it. */
export function publishView(state: ViewState): View | undefined {
	const {revision, version, configuration} = state;
	return configuration && {
		revision,
		version,
		configuration,
		drainedUpstreams: new Set(state.drainedUpstreams),
		drainedVms: new Set(state.drainedVms),
		leases: new Map(state.leases),
	};
}

/** A view read page by page. */
export type PagedView = {
	readonly base: number;
	readonly view: ViewState;
	cursor: number | undefined;
};

/** Adds a page; the first page starts a new view. */
export function addPage(paged: PagedView | undefined, page: ViewPage, decode: DecodeConfiguration): PagedView {
	const target = paged?.base === page.base ? paged : {base: page.base, view: createViewState(), cursor: undefined};
	for (const item of page.items) {
		applyChange(target.view, item, decode);
	}

	target.cursor = page.next;
	target.view.revision = page.base;
	return target;
}
