"""Small stand-ins for the platform's parts; not shipped with the product."""
