import {z} from 'zod';
import type {VmId, VmIdentity} from '../../common/core/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import type {ServerKey} from '../../common/forwarding/types.js';

const serverSchema = z.string().max(300);

/** Announces that the process named in `announcedBy` cannot reach a server. */
const unreachableSchema = z.strictObject({type: z.literal('forwarding/unreachable'), server: serverSchema, announcedBy: z.string()});

/** Announces that a server rejects requests for `forMs` milliseconds; 0 ends the suspension early. */
const suspendedSchema = z.strictObject({
	type: z.literal('forwarding/suspended'), server: serverSchema, forMs: z.number().min(0).max(60_000), announcedBy: z.string(),
});

/** Announces that a server has stated in an answer that it is shutting down. */
const leavingSchema = z.strictObject({type: z.literal('forwarding/leaving'), server: serverSchema, announcedBy: z.string()});

const announcementSchema = z.discriminatedUnion('type', [unreachableSchema, suspendedSchema, leavingSchema]);

/** Asks the leader to send an announcement to the other processes. */
const relaySchema = z.strictObject({type: z.literal('forwarding/relay'), announcement: announcementSchema});

type Announcement = z.infer<typeof announcementSchema>;

export type ServerStatusBroadcasterOptions = {
	readonly self: VmId;
	readonly network: PeerNetwork;
	/** Live processes of the system. */
	readonly processes: () => readonly VmIdentity[];
	/** Returns the leader of the replicated log, which is connected to every process; undefined if no leader answered recently. */
	readonly leader: () => VmId | undefined;
	readonly onUnreachable: (key: ServerKey, announcedBy: VmId) => void;
	readonly onSuspended: (key: ServerKey, forMs: number, announcedBy: VmId) => void;
	readonly onLeaving: (key: ServerKey, announcedBy: VmId) => void;
};

/**
Announces to all other processes what one process learns about a server. Announcements go through the leader, which is already
connected to every process; any other process would first have to open a connection to each of them.
*/
export class ServerStatusBroadcaster {
	constructor(private readonly _options: ServerStatusBroadcasterOptions) {
		const {network} = _options;
		network.registerHandler('forwarding/unreachable', unreachableSchema, (_from, announcement) => {
			this._deliver(announcement);
		});
		network.registerHandler('forwarding/suspended', suspendedSchema, (_from, announcement) => {
			this._deliver(announcement);
		});
		network.registerHandler('forwarding/leaving', leavingSchema, (_from, announcement) => {
			this._deliver(announcement);
		});
		network.registerHandler('forwarding/relay', relaySchema, (_from, {announcement}) => {
			this._deliver(announcement);
			this._sendToAll(announcement);
		});
	}

	announceUnreachable(server: ServerKey): void {
		this._broadcast({type: 'forwarding/unreachable', server, announcedBy: this._options.self});
	}

	announceSuspended(server: ServerKey, forMs: number): void {
		this._broadcast({
			type: 'forwarding/suspended', server, forMs, announcedBy: this._options.self,
		});
	}

	announceLeaving(server: ServerKey): void {
		this._broadcast({type: 'forwarding/leaving', server, announcedBy: this._options.self});
	}

	private _broadcast(announcement: Announcement): void {
		const {self, network, leader} = this._options;
		const leaderVm = leader();
		if (leaderVm === undefined || leaderVm === self) {
			this._sendToAll(announcement);
		} else {
			network.send(leaderVm, {type: 'forwarding/relay', announcement});
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

	private _deliver(announcement: Announcement): void {
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
