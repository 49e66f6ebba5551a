import {z} from 'zod';

/** Answer to an entry-point query: addresses and availability zones of entry VMs. */
export const entryPointAnswerSchema = z.strictObject({
	entryPoints: z.array(z.strictObject({address: z.string(), zone: z.string()})),
	/** Time for which callers may cache the answer, in milliseconds. */
	validForMs: z.int().positive(),
});

export type EntryPointAnswer = z.infer<typeof entryPointAnswerSchema>;

/** Chooses the entry VMs that callers should send requests to. */
export abstract class EntryPointService {
	/** Returns the entry points for a caller. `tenant` and the availability zone `zone` of the caller are undefined if they are not known. */
	abstract chooseEntryPoints(customer: string | undefined, zone: string | undefined): EntryPointAnswer;
}
