/** Copy of the shared state in an entry process: configuration, keys, drains and leases at one revision. */
import type {SharedConfiguration} from '../configuration/types.js';
import type {Change, ViewPage} from '../control/messages.js';
import type {VmId} from '../core/types.js';
import type {KeyIdentity, LeaseView, SharedStateView} from '../services/access-service.js';

/** Decodes the stored form of a shared configuration. It need not validate the configuration, which was validated before it was stored. */
export type DecodeConfiguration = (bytes: Uint8Array) => SharedConfiguration;

/** Mutable copy of the shared state that changes are applied to. */
export type MutableView = {
	/** Revision of the shared state that the view reflects; 0 before the first sync. */
	revision: number;
	/** Version of the shared configuration; 0 if there is none. */
	version: number;
	/** The shared configuration; undefined if there is none. */
	configuration: SharedConfiguration | undefined;
	/** Customers and key ids by the SHA-256 digest of the key, in hexadecimal. */
	readonly keysByDigest: Map<string, KeyIdentity>;
	/** SHA-256 digests of the keys, in hexadecimal, by key id. */
	readonly digestsByKeyId: Map<string, string>;
	/** Names of the upstreams that operators have drained. */
	readonly drainedUpstreams: Set<string>;
	/** Entry VMs that operators have drained. */
	readonly drainedVms: Set<VmId>;
	/** Availability zones whose upstreams operators have evacuated. */
	readonly evacuatedZones: Set<string>;
	/** Current leases by name. */
	readonly leases: Map<string, LeaseView>;
};

export function createMutableView(): MutableView {
	return {
		revision: 0,
		version: 0,
		configuration: undefined,
		keysByDigest: new Map(),
		digestsByKeyId: new Map(),
		drainedUpstreams: new Set(),
		drainedVms: new Set(),
		evacuatedZones: new Set(),
		leases: new Map(),
	};
}

/** Applies a change to the view. Returns the id of the key that the change removed from the view, or undefined if it removed none. */
export function applyChange(view: MutableView, change: Change, decode: DecodeConfiguration): string | undefined {
	switch (change.kind) {
		case 'configuration': {
			view.configuration = decode(change.configuration);
			view.version = change.version;
			return undefined;
		}

		case 'key': {
			const {keyId, tenant: customer, digest} = change;
			view.keysByDigest.set(digest, {keyId, tenant: customer});
			view.digestsByKeyId.set(keyId, digest);
			return undefined;
		}

		case 'key-withdrawn': {
			const digest = view.digestsByKeyId.get(change.keyId);
			view.keysByDigest.delete(digest ?? '');
			view.digestsByKeyId.delete(change.keyId);
			return digest === undefined ? undefined : change.keyId;
		}

		case 'drain': {
			const drained = {vm: view.drainedVms, upstream: view.drainedUpstreams, zone: view.evacuatedZones}[change.target];
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

/** Copies the view for the request path, so that later changes do not affect the copy. Returns undefined if there is no configuration yet. */
export function copyView(state: MutableView): SharedStateView | undefined {
	const {revision, version, configuration} = state;
	return configuration && {
		revision,
		version,
		configuration,
		drainedUpstreams: new Set(state.drainedUpstreams),
		drainedVms: new Set(state.drainedVms),
		evacuatedZones: new Set(state.evacuatedZones),
		leases: new Map(state.leases),
	};
}

/** A view that is read from a control VM page by page. */
export type PartialView = {
	/** Revision at which the first page was read. */
	readonly base: number;
	readonly view: MutableView;
	/** Position at which the next page starts; undefined once the last page was added. */
	cursor: number | undefined;
};

/** Adds a page to the view that is being read, and returns that view. If `paged` is undefined or has another base revision than the page, the page starts a new view. */
export function addViewPage(paged: PartialView | undefined, page: ViewPage, decode: DecodeConfiguration): PartialView {
	const targetView = paged?.base === page.base ? paged : {base: page.base, view: createMutableView(), cursor: undefined};
	for (const change of page.items) {
		applyChange(targetView.view, change, decode);
	}

	targetView.cursor = page.next;
	targetView.view.revision = page.base;
	return targetView;
}
