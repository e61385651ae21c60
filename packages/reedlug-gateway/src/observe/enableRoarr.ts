/**
 * Enables roarr. It logs nothing unless `ROARR_LOG` is set before it is loaded, so
 * this module must be imported first; `ROARR_LOG=false` still disables the logs.
 */
process.env['ROARR_LOG'] ??= 'true';
