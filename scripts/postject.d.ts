declare module 'postject' {
	/** Adds a resource to an executable file, in place. */
	export function inject(file: string, resourceName: string, resource: Uint8Array, options: {sentinelFuse: string}): Promise<void>;
}
