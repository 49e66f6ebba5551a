import {z} from 'zod';

/** Version of the protocol between processes; incremented with each incompatible change. */
export const protocolVersion = 1;

/** First message on a connection, sent by each side. */
export const helloSchema = z.strictObject({
	protocol: z.int(),
	cluster: z.string(),
	vm: z.string(),
	incarnation: z.int(),
	/** Random bytes in hexadecimal. The session key is derived from the nonces of both sides. */
	nonce: z.string().length(32),
});

/** Every message after the handshake. */
export const envelopeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('ping')}),
	z.strictObject({kind: z.literal('one-way'), body: z.looseObject({type: z.string()})}),
	z.strictObject({kind: z.literal('request'), id: z.int(), body: z.looseObject({type: z.string()})}),
	z.strictObject({kind: z.literal('reply'), id: z.int(), body: z.unknown()}),
	z.strictObject({kind: z.literal('error'), id: z.int(), message: z.string()}),
]);

/** A one-way message in a datagram, with the identity of its sender. `to` is the VM that it is meant for. */
export const datagramSchema = z.strictObject({
	cluster: z.string(),
	to: z.string(),
	vm: z.string(),
	incarnation: z.int(),
	body: z.looseObject({type: z.string()}),
});

export type Hello = z.infer<typeof helloSchema>;
export type Envelope = z.infer<typeof envelopeSchema>;
