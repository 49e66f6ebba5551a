import type Emittery from 'emittery';
import type {z} from 'zod';
import type {Disposable} from '../core/disposable.js';
import type {PeerMessage, VmId, VmIdentity} from '../core/types.js';

/** Handles messages of one type. The return value is the reply to a request. */
export type MessageHandler<M> = (from: VmIdentity, message: M) => unknown;

export type PeerNetworkEvents = {
	/** A connection to the process was opened and authenticated. */
	onPeerConnected: VmIdentity;
	/** The last connection to the process was closed. */
	onPeerDisconnected: VmIdentity;
};

/** Exchanges authenticated messages between the processes of the cluster. */
export abstract class PeerNetwork implements Disposable {
	abstract readonly events: Emittery<PeerNetworkEvents>;

	/** Sets the address (IP and port) of a process. */
	abstract setAddress(vm: VmId, address: string): void;
	/** Registers the handler of a message type, which can have only one. Messages that do not match the schema are rejected and counted. */
	abstract registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void;
	/** Sends a one-way message, which is lost if the process cannot be reached. */
	abstract send(to: VmId, message: PeerMessage): void;
	/** Sends a request and resolves with the reply. Rejects with `TimeoutError` or `ProtocolError`. */
	abstract request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown>;
	abstract dispose(): Promise<void>;
}
