import type Emittery from 'emittery';
import type {z} from 'zod';
import type {Disposable} from '../core/disposable.js';
import type {PeerMessage, VmId, VmIdentity} from '../core/types.js';

/** Handles messages of one type. If the message is a request, the return value is the reply to it. */
export type MessageHandler<M> = (from: VmIdentity, message: M) => unknown;

export type PeerNetworkEvents = {
	/** Identity of a process to which a connection was opened and authenticated. */
	onPeerConnected: VmIdentity;
	/** Identity of a process to which the last connection was closed. */
	onPeerDisconnected: VmIdentity;
};

/** Exchanges authenticated messages between the processes of the cluster. */
export abstract class PeerNetwork implements Disposable {
	abstract readonly events: Emittery<PeerNetworkEvents>;

	/** Sends a one-way message that may also arrive repeatedly, late or out of order, which is cheaper; by default, sends it like any other message. */
	sendDatagram(to: VmId, message: PeerMessage): void {
		this.send(to, message);
	}

	/** Sets the address (IP and port) at which the process on `vm` is reached. */
	abstract setAddress(vm: VmId, address: string): void;
	/** Registers the handler of a message type; each type can have only one handler. Messages that do not match the schema are rejected and counted. */
	abstract registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void;
	/** Sends a one-way message; the message is lost if the process cannot be reached. */
	abstract send(to: VmId, message: PeerMessage): void;
	/** Sends a request and resolves with the reply. Rejects with `TimeoutError` if there is no reply within `timeoutMs` milliseconds, and with `ProtocolError` if the request fails otherwise. */
	abstract request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown>;
	abstract dispose(): Promise<void>;
}
