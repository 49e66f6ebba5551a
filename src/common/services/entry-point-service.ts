import {z} from 'zod';

export const entryPointAnswerSchema = z.strictObject({
	entryPoints: z.array(z.strictObject({address: z.string(), zone: z.string()})),
	/** Time for which callers may cache the answer, in milliseconds. */
	validForMs: z.int().positive(),
});

export type EntryPointAnswer = z.infer<typeof entryPointAnswerSchema>;

/** Chooses the entry VMs that a tenant's callers should use. */
export abstract class EntryPointService {
	/** Returns the entry points for a caller in the availability zone `zone`, which is undefined if the caller did not state it. */
	abstract chooseEntryPoints(tenant: string | undefined, zone: string | undefined): EntryPointAnswer;
}
