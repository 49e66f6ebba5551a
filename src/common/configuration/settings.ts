import {z} from 'zod';
import {addressSchema} from '../core/units.js';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/, 'names have lower-case letters, digits and inner hyphens, at most 63 characters');

/** Address at which another process of the cluster accepts connections from peers. */
export const peerAddressSchema = z.strictObject({
	vm: nameSchema,
	address: addressSchema,
});

/** Settings of one process, read once at startup. */
export const settingsSchema = z.strictObject({
	/** Name of the cluster; processes connect only to peers of the same cluster. */
	cluster: nameSchema,
	/** Shared secret that authenticates the traffic between the processes of the cluster. */
	clusterKey: z.string().min(16, 'use at least 16 characters'),
	/** Name of the VM that the process runs on, unique in the cluster. */
	vm: nameSchema,
	/** Availability zone of the VM. */
	zone: nameSchema,
	/** Region of the VM. */
	region: nameSchema,
	/** Roles of the process: `entry` serves callers, `control` keeps a replica of the shared state. */
	roles: z.array(z.enum(['entry', 'control'])).min(1),
	/** Addresses that the process listens on; `callers` is required for the entry role. */
	listen: z.strictObject({
		callers: addressSchema.optional(),
		peers: addressSchema,
		operators: addressSchema,
	}),
	/** Directory in which the process keeps its durable files; required for the control role. */
	dataFolder: z.string().min(1).optional(),
	/** Bearer token of the operator API. */
	operatorToken: z.string().min(16, 'use at least 16 characters'),
	/** Control VMs that the process contacts first. */
	control: z.array(peerAddressSchema).min(1),
}).superRefine((settings, context) => {
	if (settings.roles.includes('control') && settings.dataFolder === undefined) {
		context.addIssue({code: 'custom', path: ['dataFolder'], message: 'the control role needs a data folder; a VM without a disk can be entry only'});
	}

	if (settings.roles.includes('entry') && settings.listen.callers === undefined) {
		context.addIssue({code: 'custom', path: ['listen', 'callers'], message: 'the entry role needs an address for callers'});
	}

	if (settings.roles.includes('control') && !settings.control.some(peer => peer.vm === settings.vm)) {
		context.addIssue({code: 'custom', path: ['control'], message: `a control VM lists itself; "${settings.vm}" is missing`});
	}
});

export type PeerAddress = z.infer<typeof peerAddressSchema>;
export type Settings = z.infer<typeof settingsSchema>;
