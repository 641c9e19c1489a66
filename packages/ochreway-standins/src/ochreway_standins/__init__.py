# SPDX-License-Identifier: Apache-2.0
"""Small stand-ins, benches and the demo, for development only."""
