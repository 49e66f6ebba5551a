import type {z} from 'zod';
import {errorContext, ProtocolError, TimeoutError} from '../../common/core/errors.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler} from '../../common/services/peer-network.js';

type LocalHandler = {readonly schema: z.ZodType; readonly handler: MessageHandler<unknown>};

/** Peer network that delivers messages of a process to itself and passes all other messages to an inner network, so that senders need not distinguish the two. */
export class LoopbackNetwork extends PeerNetwork {
	private readonly _handlers = new Map<string, LocalHandler>();

	constructor(private readonly _inner: PeerNetwork, private readonly _self: VmIdentity) {
		super();
	}

	override get events(): PeerNetwork['events'] {
		return this._inner.events;
	}

	override setAddress(vm: VmId, address: string): void {
		this._inner.setAddress(vm, address);
	}

	override registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._handlers.set(type, {schema, handler: handler as MessageHandler<unknown>});
		this._inner.registerHandler(type, schema, handler);
	}

	override send(to: VmId, message: PeerMessage): void {
		if (to !== this._self.vm) {
			this._inner.send(to, message);
			return;
		}

		queueMicrotask(() => {
			this._deliver(message);
		});
	}

	override sendDatagram(to: VmId, message: PeerMessage): void {
		if (to === this._self.vm) {
			this.send(to, message);
		} else {
			this._inner.sendDatagram(to, message);
		}
	}

	override async request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown> {
		if (to !== this._self.vm) {
			return this._inner.request(to, message, timeoutMs);
		}

		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(new TimeoutError(`no reply within ${timeoutMs} ms`, errorContext({step: 'loopback.request', peer: to})));
			}, timeoutMs);
		});
		try {
			return await Promise.race([this._deliver(message), timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Removes the local handlers. Does not dispose the inner network, because its creator owns it. */
	override async dispose(): Promise<void> {
		this._handlers.clear();
	}

	private _deliver(message: PeerMessage): unknown {
		const local = this._handlers.get(message.type);
		if (!local) {
			throw new ProtocolError(`no handler for "${message.type}"`, errorContext({step: 'loopback.deliver', peer: this._self.vm}));
		}

		return local.handler(this._self, local.schema.parse(message));
	}
}
