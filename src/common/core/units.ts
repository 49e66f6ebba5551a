import {z} from 'zod';

/* eslint-disable @typescript-eslint/naming-convention -- the case of unit symbols is significant */
/** Units of durations, in milliseconds. */
const durationUnits: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Units of sizes, in bytes. */
const sizeUnits: Readonly<Record<string, number>> = {
	B: 1, kB: 1e3, MB: 1e6, GB: 1e9, KiB: 1024, MiB: 1_048_576, GiB: 1_073_741_824,
};
/* eslint-enable @typescript-eslint/naming-convention */

/** Parses a number followed by one of the units. Returns the product of number and unit, or undefined if the text is malformed or the unit unknown. */
function parseQuantity(text: string, units: Readonly<Record<string, number>>): number | undefined {
	const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text);
	const factor = units[match?.[2] ?? ''];
	return match && factor !== undefined ? Number(match[1]) * factor : undefined;
}

/** Creates the schema of a quantity that is written as text. `kind` and `example` occur in the message for text that `parse` cannot read. */
function quantitySchema(kind: string, example: string, parse: (text: string) => number | undefined) {
	return z.string().transform((text, context) => {
		const value = parse(text);
		if (value === undefined) {
			context.addIssue({code: 'custom', message: `"${text}" is not a ${kind}; write it like "${example}"`});
			return z.NEVER;
		}

		return value;
	});
}

/** A duration, written like `800ms`, `3s`, `10m` or `24h`; the parsed value is in milliseconds. */
export const durationSchema = quantitySchema('duration', '500ms', text => parseQuantity(text, durationUnits));

/** A size, written like `256KiB` or `10MB`; the parsed value is in bytes. */
export const sizeSchema = quantitySchema('size', '256KiB', text => parseQuantity(text, sizeUnits));

/** A byte rate, written like `10GB/s`; the parsed value is in bytes per second. */
export const byteRateSchema = quantitySchema('byte rate', '10GB/s', text => text.endsWith('/s') ? parseQuantity(text.slice(0, -2), sizeUnits) : undefined);

/** A rate of rate tokens, written like `20000 tokens/s`; the parsed value is in tokens per second. */
export const tokenRateSchema = quantitySchema('token rate', '20000 tokens/s', text => {
	const match = /^(\d+(?:\.\d+)?)\s*tokens\/s$/.exec(text);
	return match ? Number(match[1]) : undefined;
});

/** An IP address and port, written like `127.0.0.1:8080` or `[::1]:8080`. */
export const addressSchema = z.string().regex(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-fA-F:]+]):\d{1,5}$/, 'write an IP address and port, like "127.0.0.1:8080"');
