import {z} from 'zod';
import type {VmId, VmIdentity} from '../../common/core/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import type {ServerKey} from '../../common/forwarding/types.js';

const serverSchema = z.string().max(300);

/** Tells that a server cannot be reached from the process that announces it. */
const unreachableSchema = z.strictObject({type: z.literal('forwarding/unreachable'), server: serverSchema, announcedBy: z.string()});

/** Tells that a server turns work away for so long, in milliseconds; 0 takes that back. */
const suspendedSchema = z.strictObject({
	type: z.literal('forwarding/suspended'), server: serverSchema, forMs: z.number().min(0).max(60_000), announcedBy: z.string(),
});

/** Tells that a server says of itself that it leaves. */
const leavingSchema = z.strictObject({type: z.literal('forwarding/leaving'), server: serverSchema, announcedBy: z.string()});

const announcementSchema = z.discriminatedUnion('type', [unreachableSchema, suspendedSchema, leavingSchema]);

/** Asks the leader to pass an announcement on. */
const relaySchema = z.strictObject({type: z.literal('forwarding/relay'), announcement: announcementSchema});

type Announcement = z.infer<typeof announcementSchema>;

export type AnnouncerOptions = {
	readonly self: VmId;
	readonly network: PeerNetwork;
	/** Live processes of the system. */
	readonly processes: () => readonly VmIdentity[];
	/** The leader of the replicated log where it answered lately: every process has a connection to it, and it to them. */
	readonly leader: () => VmId | undefined;
	readonly onUnreachable: (key: ServerKey, announcedBy: VmId) => void;
	readonly onSuspended: (key: ServerKey, forMs: number, announcedBy: VmId) => void;
	readonly onLeaving: (key: ServerKey, announcedBy: VmId) => void;
};

/** Tells all processes what one learned of a server. The leader passes it on, since others would have to connect to each process first. */
export class Announcer {
	constructor(private readonly _options: AnnouncerOptions) {
		const {network} = _options;
		network.handle('forwarding/unreachable', unreachableSchema, (_from, announcement) => {
			this._take(announcement);
		});
		network.handle('forwarding/suspended', suspendedSchema, (_from, announcement) => {
			this._take(announcement);
		});
		network.handle('forwarding/leaving', leavingSchema, (_from, announcement) => {
			this._take(announcement);
		});
		network.handle('forwarding/relay', relaySchema, (_from, {announcement}) => {
			this._take(announcement);
			this._sendToAll(announcement);
		});
	}

	announceUnreachable(server: ServerKey): void {
		this._announce({type: 'forwarding/unreachable', server, announcedBy: this._options.self});
	}

	announceSuspended(server: ServerKey, forMs: number): void {
		this._announce({
			type: 'forwarding/suspended', server, forMs, announcedBy: this._options.self,
		});
	}

	announceLeaving(server: ServerKey): void {
		this._announce({type: 'forwarding/leaving', server, announcedBy: this._options.self});
	}

	private _announce(announcement: Announcement): void {
		const {self, network, leader} = this._options;
		const relay = leader();
		if (relay === undefined || relay === self) {
			this._sendToAll(announcement);
		} else {
			network.send(relay, {type: 'forwarding/relay', announcement});
		}
	}

	private _sendToAll(announcement: Announcement): void {
		const {self, network, processes} = this._options;
		for (const {vm} of processes()) {
			if (vm !== self && vm !== announcement.announcedBy) {
				network.send(vm, announcement);
			}
		}
	}

	private _take(announcement: Announcement): void {
		const {onUnreachable, onSuspended, onLeaving} = this._options;
		const {server, announcedBy} = announcement;
		switch (announcement.type) {
			case 'forwarding/unreachable': {
				onUnreachable(server, announcedBy);
				break;
			}

			case 'forwarding/suspended': {
				onSuspended(server, announcement.forMs, announcedBy);
				break;
			}

			case 'forwarding/leaving': {
				onLeaving(server, announcedBy);
				break;
			}
		}
	}
}
