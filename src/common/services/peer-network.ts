import type Emittery from 'emittery';
import type {z} from 'zod';
import type {Disposable} from '../core/disposable.js';
import type {PeerMessage, VmId, VmIdentity} from '../core/types.js';

/** Handles one message type; what a request handler returns is the reply. */
export type MessageHandler<M> = (from: VmIdentity, message: M) => unknown;

export type PeerNetworkEvents = {
	/** A connection to the process is open and authenticated. */
	onPeerUp: VmIdentity;
	/** The last connection to the process is gone. */
	onPeerDown: VmIdentity;
};

/** Authenticated messages between the processes of the cluster. */
export abstract class PeerNetwork implements Disposable {
	abstract readonly events: Emittery<PeerNetworkEvents>;

	/** Sets or changes the address (IP and port) of a process. */
	abstract setAddress(vm: VmId, address: string): void;
	/** Registers the only handler of a message type; a message that fails the schema is refused and counted. */
	abstract handle<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void;
	/** Sends a one-way message; it is lost if the process cannot be reached. */
	abstract send(to: VmId, message: PeerMessage): void;
	/** Sends a request and resolves with its reply. Rejects with `TimeoutError` or `ProtocolError`. */
	abstract request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown>;
	abstract dispose(): Promise<void>;
}
